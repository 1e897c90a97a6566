#!/usr/bin/env bash
# Shows the same fault in the answers of backends; see claim.txt.
program_suffix=-answer
source "$(dirname "$0")/../common/run_case.sh"
