#!/usr/bin/env bash
# Builds the programs of the scripts, with the compiler and the JSON header that the deploy file names too.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
build() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$1" "$2"; }
for source in [1-5]/case.cpp; do
    build "case-${source%%/*}" "$source"
done
build case-4-config 4/config.cpp
build case-1-answer 1/answer.cpp
