#!/usr/bin/env bash
source "$(dirname "$0")/../common/run_case.sh"
