#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cut_watchers ] && [ -x target/platform/marlsill-platform-entry ] || exit 2
exec target/review-3/cut_watchers review/13/record.txt
