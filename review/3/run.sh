#!/usr/bin/env bash
# Runs this case; see claim.txt and ../stand_ins/run_case.sh.
exec "$(dirname "$0")/../stand_ins/run_case.sh" drain "review/3"
