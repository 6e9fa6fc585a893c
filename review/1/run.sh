#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 2 115 ../bin/review.test -case usage -dir "$PWD" -root "$PWD/../.."
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
