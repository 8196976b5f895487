#!/bin/bash
# Builds the programs of the scripts in review/6 to review/10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case-2.cpp; do
    folder=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/world-2 -o "target/review-2/case-$folder" "$source"
done
