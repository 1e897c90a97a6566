#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
case_program=target/review-2/case-10
if [ ! -x "$case_program" ] || [ ! -x target/platform/marlsill-platform-entry ]; then
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
fi
timeout -k 2 120 "$case_program" review/10/record.txt
status=$?
[ $status -eq 0 ] || [ $status -eq 1 ] || exit 2
exit $status
