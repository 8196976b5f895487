#!/usr/bin/env bash
# Runs the soak test of the release build of cactusdeck-mesh: tools/soak.sh [FIRST [LAST [SECONDS]]]
# Runs the seeds FIRST to LAST (default 1 to 50), three at a time, each with SECONDS of injected
# faults (default 25). Prints the seeds in which a check failed (a "broken promise" in the output of
# the soak program); their logs stay in build/soak/SEED.
source "$(dirname "$0")/common.sh"
first="${1:-1}"
last="${2:-50}"
seconds="${3:-25}"
atOnce=3
installPackages
buildPreset release soak cactusdeck-mesh
mkdir -p build/soak
runSeed() {
    local folder="build/soak/$1"
    rm -rf "$folder"
    # Soak tests that run at the same time need different loopback networks.
    if build/release/soak --program build/release/cactusdeck-mesh --folder "$folder" --seed "$1" \
        --network $((20 + $1 % 200)) --seconds "$2" >"build/soak/$1.txt" 2>&1; then
        rm -rf "$folder"
    else
        echo "seed $1:" && grep -E 'broken promise|soak:' "build/soak/$1.txt"
        return 1
    fi
}
export -f runSeed
seq "$first" "$last" | xargs -P "$atOnce" -I{} bash -c "runSeed {} $seconds" && status=0 || status=1
seq -f 'build/soak/%g.txt' "$first" "$last" | xargs cat | grep -o 'event=promise.*' | sort | awk '
    { split($2, label, "="); split($3, checked, "="); split($4, broken, "=");
      checks[label[2]] += checked[2]; breaks[label[2]] += broken[2] }
    END { for (name in checks) print "promise=" name " checked=" checks[name] " broken=" breaks[name] }'
exit $status
