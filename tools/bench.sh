#!/usr/bin/env bash
# Runs the benchmarks and prints one key=value line for each: bench.sh [FILTER]
# Writes all results to build/bench.json. The simulated fleets of 100 and 300 balancers take minutes
# and run only when a filter names them.
source "$(dirname "$0")/common.sh"
filter="${1:--fleetRun/(100|300)}"
buildPreset release core_bench >&2
build/release/core_bench --benchmark_filter="$filter" --benchmark_min_time=0.5 \
    --benchmark_out=build/bench.json --benchmark_out_format=json --benchmark_format=csv 2>/dev/null |
    awk -F, '
        $1 == "name" { for (i = 11; i <= NF; ++i) { gsub(/"/, "", $i); counter[i] = $i } next }
        counter[11] != "" && NF > 10 {
            gsub(/"/, "", $1)
            line = "benchmark=" $1 " real=" $3 " cpu=" $4 " unit=" $5
            for (i = 11; i <= NF; ++i)
                if ($i != "") line = line " " counter[i] "=" $i
            print line
        }'
