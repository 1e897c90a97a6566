#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/kit-3/*.cpp; do
    name="$(basename "$source" .cpp)"
    "${CXX:-g++}" -std=c++20 -O1 -pthread "$source" -o "target/review-3/$name"
done
