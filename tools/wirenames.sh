#!/usr/bin/env bash
# Fails if a wire name of the platform occurs in C++ code outside platform/. Only platform/
# translates between the wire names and the internal ones.
source "$(dirname "$0")/common.sh"
names='warmup_left_ms|warmup_per_s|warmup_s|datagram_addr|heartbeat_addr|readiness_addr|evacuate_ms'
names+='|rollback_slack_ms|idle_timeout_ms|target_latency_ms|path_prefix|max_conns|as_of|wait_ms'
names+='|serializable|internal_ports|node_name|CACTUSDECK_CONFIG|/v1/(objects|instances|readyz)'
if sourceFiles | grep -v '^platform/' | xargs -r grep -nE "\\b($names)|/v1/(objects|instances|readyz)"; then
    echo "wire names of the platform must occur only in platform/; the lines above contain some" >&2
    exit 1
fi
