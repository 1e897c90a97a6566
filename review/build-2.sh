#!/usr/bin/env bash
# Builds the cases of review/6 to review/10 with their stand-ins, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    case_number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$case_number"
done
