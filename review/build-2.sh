#!/bin/bash
# Builds the programs that review/7/run.sh to review/10/run.sh start, after the build of the deploy
# file. They need a C++ compiler and nlohmann-json only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 7 8 9 10; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/world-2 \
        -o "target/review-2/case-$number" "review/$number/case.cc"
done
