#!/bin/sh
# Runs a case: run_case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/late-words ] && [ -x target/release/quetzalrack-rack ] || exit 2
exec target/review-2/late-words "$1" "$2/record.txt"
