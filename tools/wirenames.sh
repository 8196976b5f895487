#!/usr/bin/env bash
# Fails when a wire name of the platform stands in code outside platform/, which alone translates.
source "$(dirname "$0")/common.sh"
names='warmup_left_ms|warmup_per_s|warmup_s|datagram_addr|heartbeat_addr|readiness_addr|evacuate_ms'
names+='|rollback_slack_ms|idle_timeout_ms|target_latency_ms|path_prefix|max_conns|as_of|wait_ms'
names+='|serializable|internal_ports|node_name|CACTUSDECK_CONFIG|/v1/(objects|instances|readyz)'
if sourceFiles | grep -v '^platform/' | xargs -r grep -nE "\\b($names)|/v1/(objects|instances|readyz)"; then
    echo "wire names of the platform outside platform/ (listed above)" >&2
    exit 1
fi
