#!/usr/bin/env bash
# Shows the second effect of the disruption; see claim-config.txt.
program_suffix=-config
source "$(dirname "$0")/../common/run_case.sh"
