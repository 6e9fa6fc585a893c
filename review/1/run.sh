#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 118 ../bin/review.test -case usage -dir "$PWD" -root "$PWD/../.."
