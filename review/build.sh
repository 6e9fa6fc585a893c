#!/usr/bin/env bash
# Builds the programs of the review's scripts, with all stand-ins, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go test -c -vet=off -tags review -o review/bin/review.test ./review/scripts
