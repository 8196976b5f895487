#!/usr/bin/env bash
# Runs the benchmarks and prints one key=value line for each: bench.sh [FILTER]
# Writes all results to build/bench.json. The simulated fleets of 100 and 300 balancers take minutes,
# so the default filter excludes them.
source "$(dirname "$0")/common.sh"
filter="${1:--fleetRun/(100|300)}"
buildPreset release core_bench >&2
# Parses the console format: the CSV format requires that all benchmarks have the same counters.
build/release/core_bench --benchmark_filter="$filter" --benchmark_min_time=0.5 \
    --benchmark_out=build/bench.json --benchmark_out_format=json 2>/dev/null |
    awk '$3 ~ /^(ns|us|ms|s)$/ && $5 == $3 {
        line = "benchmark=" $1 " real=" $2 " cpu=" $4 " unit=" $3
        for (i = 7; i <= NF; ++i)
            line = line " " $i
        print line
    }'
