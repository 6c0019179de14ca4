#!/usr/bin/env bash
# Runs a case: run_case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/quetzalrack-rack ] || exit 2
[ -x target/review/stand_ins_4 ] || review/build-3.sh || exit 2
exec timeout --kill-after=5 115 target/review/stand_ins_4 "$1" "$folder/record.txt"
