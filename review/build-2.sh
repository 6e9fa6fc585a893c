#!/bin/sh
# Builds the stand-ins of the second review into out/review2/. Needs Go and a C compiler. They are a
# test binary, since the names of the platform may stand in test files only.
set -e
cd "$(dirname "$0")/.."
mkdir -p out/review2
CGO_ENABLED=1 go test -c -vet=off -tags review -o out/review2/standin2 ./review/standin2
