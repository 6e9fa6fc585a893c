#!/bin/sh
# Builds the stand-ins of the second review into out/review2/. Needs Go and a C compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p out/review2
CGO_ENABLED=1 go build -tags review -o out/review2/standin2 ./review/standin2
