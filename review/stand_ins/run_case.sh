#!/usr/bin/env bash
# Runs one case: run_case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
record="$2/record.txt"
: > "$record"
if [ ! -x target/release/quetzalrack-rack ] || [ ! -x target/review/stand-ins ]; then
  echo "build first: the deploy file's build, then review/build.sh" | tee "$record"
  exit 2
fi
timeout 116 target/review/stand-ins "$1" "$record"
status=$?
# The stand-ins end what they started. If they were cut short, the processes named in the record are
# ended here.
for id in $(grep -o 'process [0-9]*$' "$record" | cut -d' ' -f2); do
  case "$(readlink "/proc/$id/exe" 2>/dev/null)" in
    */quetzalrack-rack*) kill -9 "$id" ;;
  esac
done
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
