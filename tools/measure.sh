#!/usr/bin/env bash
# Runs scenarios and prints the measured value beside the target of each measure in section 1 of
# docs/design.md: measure.sh [--seed N]
# Measures that depend on the placement are printed for consistent hashing too, as the baseline.
source "$(dirname "$0")/common.sh"
seed=1
[ "${1:-}" = --seed ] && seed="$2"
scenario=build/release/scenario
[ -x "$scenario" ] || buildPreset release scenario >&2

unitOf() {
    case "$1" in
        in_force|zone_out_last_packet|new_after_drain) echo s ;;
        control_rate) echo bytes/s ;;
        store_rate) echo calls/s ;;
        served|imbalance) echo ratio ;;
        *) echo count ;;
    esac
}

# report FILE PLACEMENT MEASURE...: runs one scenario and prints a line for each of the measures.
report() {
    local file="$1" placement="$2" line name value bound status
    shift 2
    "$scenario" "scenarios/$file.scn" --seed "$seed" --placement "$placement" |
    while read -r line; do
        [[ $line =~ ^expect=([^ ]+)\ value=([^ ]+)\ bound=([^ ]+)\ status=(.*)$ ]] || continue
        name="${BASH_REMATCH[1]}" value="${BASH_REMATCH[2]}"
        bound="${BASH_REMATCH[3]}" status="${BASH_REMATCH[4]/failed/short}"
        [[ " $* " == *" $name "* ]] || continue
        echo "measure=$file.$name placement=$placement value=$value unit=$(unitOf "$name")" \
            "target=$bound status=$status"
    done || true
}

safety="broken misdelivered duplicated untrue_refusals cold_overload"
# shellcheck disable=SC2086
for file in g1_tatrapoint_rolling g3_cold_server g4_wadi_rum_zone_out g8_drain g10_changes; do
    report "$file" weighted_rendezvous $safety zone_out_last_packet served new_after_drain \
        in_force reverts control_rate
done
for file in targets_wadi_rum targets_tatrapoint; do
    for placement in weighted_rendezvous consistent_hashing; do
        report "$file" "$placement" imbalance
    done
    report "$file" weighted_rendezvous control_rate store_rate served cold_overload
done
