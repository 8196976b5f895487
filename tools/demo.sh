#!/usr/bin/env bash
# Runs all processes of a site on loopback with about 20 s of traffic. Meanwhile a balancer is
# replaced, a backend server drains, another turns cold, and a failure domain is taken out of
# service and returned. Checks that no flow broke and that the other counters of faults are 0.
#
#   tools/demo.sh [--site wadirum|tatrapoint] [--seed N] [--seconds 20] [--base-port N] [--keep]
#
# The last line of the output is the result; the exit status is 0 only for result=ok.
# --keep leaves logs, settings and the report in a folder and prints its path.
source "$(dirname "$0")/common.sh"

site=wadirum seed=1 seconds=20 basePort=$((10000 + $$ % 110 * 200)) keep=no
while [ $# -gt 0 ]; do
    case "$1" in
        --site) site="$2"; shift 2 ;;
        --seed) seed="$2"; shift 2 ;;
        --seconds) seconds="$2"; shift 2 ;;
        --base-port) basePort="$2"; shift 2 ;;
        --keep) keep=yes; shift ;;
        *) echo "demo.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
case "$site" in
    wadirum)
        zones=(amman-a amman-b amman-c amman-d) slots=5
        longService=booking longAddress=198.51.100.10:443 longGroup=wadi-rum-booking longServers=7
        fetchService=ticket fetchAddress=198.51.100.20:443 fetchGroup=wadi-rum-ticket fetchServers=4
        ;;
    tatrapoint)
        zones=(tatry-a tatry-b tatry-c) slots=9
        longService=approval longAddress=198.51.100.30:443 longGroup=tatrapoint-approval longServers=7
        fetchService=document fetchAddress=198.51.100.40:443 fetchGroup=tatrapoint-document
        fetchServers=3
        ;;
    *) echo "demo.sh: unknown site $site" >&2; exit 2 ;;
esac

installPackages >&2
buildPreset release cactusdeck-balancer cactusdeck-agent cactusdeck cactusdeck-standin >&2
binaries=$PWD/build/release
standin=$binaries/cactusdeck-standin
work=$(mktemp -d)
fabric=127.0.0.1:$basePort
store=127.0.0.1:$((basePort + 1))
speeds=(1 0.5 2 1 1.5 0.5 2) # the fastest server is four times as fast as the slowest
pids=()
balancerCount=0 serverCount=0 hasVerdict=no
balancerPids=() seeds=() serverHealths=() serverZones=()

# Ends the processes that this run started, also after an error. Prints a failed result line if
# the run ended before its verdict.
stopAll() {
    local status=$? pid
    trap - EXIT
    [ "$hasVerdict" = yes ] || echo "flows=? broken=? misdelivered=? duplicated=? untrue_refusals=?" \
        "after_domain_out_ms=? result=failed"
    [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    for pid in ${pids[@]+"${pids[@]}"}; do
        timeout 5 tail --pid="$pid" -f /dev/null || kill -KILL "$pid" 2>/dev/null || true
    done
    wait
    if [ "$keep" = yes ]; then echo "logs and report: $work" >&2; else rm -rf "$work"; fi
    exit "$status"
}
trap stopAll EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: runs the command in the background with a log file and sets lastPid.
start() {
    local name="$1"
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    lastPid=$!
    pids+=("$lastPid")
}

step() { printf '%5.1f s  %s\n' "$(($(date +%s%3N) - began))e-3" "$1"; }
operator() { "$binaries/cactusdeck" --store "$store" --seeds "$(IFS=,; echo "${seeds[*]}")" "$@"; }
quoted() { printf '"%s",' "$@" | sed 's/,$//'; }

# startBalancer ZONE: starts the next balancer in the zone.
startBalancer() {
    local name=balancer-$((++balancerCount)) port=$((basePort + 8 + 2 * balancerCount))
    cat >"$work/$name.json" <<END
{ "id": "$name", "zone": "$1", "data": "127.0.0.1:$port", "control": "127.0.0.1:$((port + 1))",
  "fabric": "$fabric", "store": "$store", "seeds": [$(quoted "${seeds[@]}")],
  "log": { "level": "info", "target": "stderr" } }
END
    start "$name" "$binaries/cactusdeck-balancer" --settings "$work/$name.json"
    balancerPids+=("$lastPid")
}

# startServer NAME GROUP ADDRESS ZONE: starts a backend server and its agent.
startServer() {
    local port=$((basePort + 40 + 4 * serverCount)) speed=${speeds[serverCount % ${#speeds[@]}]}
    serverCount=$((serverCount + 1))
    serverHealths+=("127.0.0.1:$((port + 1))")
    serverZones+=("$4")
    start "server-$1" "$standin" server --data "127.0.0.1:$port" --health "127.0.0.1:$((port + 1))" \
        --name "$1" --zone "$4" --address "$3" --slots "$slots" --connections 2000 --latency 15 \
        --speed "$speed" --cold-completions 8 --cold-slots 1 --cold-factor 15 \
        --seed $((seed * 100 + serverCount))
    cat >"$work/agent-$1.json" <<END
{ "id": "agent-$1", "zone": "$4", "group": "$2", "data": "127.0.0.1:$((port + 2))",
  "control": "127.0.0.1:$((port + 3))", "fabric": "$fabric", "seeds": [$(quoted "${seeds[@]}")],
  "server": { "data": "127.0.0.1:$port", "health": "127.0.0.1:$((port + 1))" },
  "log": { "level": "info", "target": "stderr" } }
END
    start "agent-$1" "$binaries/cactusdeck-agent" --settings "$work/agent-$1.json"
}

# waitUntil PERCENT: waits until this percentage of the traffic time has passed.
waitUntil() {
    local left=$((began + seconds * $1 * 10 - $(date +%s%3N)))
    [ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

start store "$standin" store --listen "$store"
"$standin" wait "$store" /counters
for i in "${!zones[@]}"; do
    seeds+=("127.0.0.1:$((basePort + 11 + 2 * i))")
done
operator --author demo --reason "demo of $site" publish "examples/$site" | sed 's/^/publish: /'
for zone in "${zones[@]}"; do
    startBalancer "$zone"
done
for ((i = 0; i < longServers; ++i)); do
    startServer "$longService-$((i + 1))" "$longGroup" "$longAddress" "${zones[i % ${#zones[@]}]}"
done
for ((i = 0; i < fetchServers; ++i)); do
    startServer "$fetchService-$((i + 1))" "$fetchGroup" "$fetchAddress" \
        "${zones[i % ${#zones[@]}]}"
done
for health in "${serverHealths[@]}"; do
    "$standin" wait "$health" /health
done

cat >"$work/traffic.json" <<END
{ "seed": $seed, "drop": 0.001, "duplicate": 0.002, "reorder": 0.01, "minBalancers": ${#zones[@]},
  "groups": [
    { "name": "$longService", "service": "$longAddress", "session": true, "initial": 60,
      "arrivalsPerSecond": 6, "bookingShare": 0.4, "pauseMilliseconds": 400,
      "minAnswerBytes": 200, "maxAnswerBytes": 4000 },
    { "name": "$fetchService", "service": "$fetchAddress", "arrivalsPerSecond": 30,
      "minAnswerBytes": 2000, "maxAnswerBytes": 20000 } ],
  "servers": [$(quoted "${serverHealths[@]}")] }
END
sleep 3 # until the agents have announced themselves to the balancers
start fabric "$standin" fabric --listen "$fabric" --scenario "$work/traffic.json"
fabricPid=$lastPid
"$standin" wait "$fabric" /counters --field attempts --at-least 1
began=$(date +%s%3N)
step "traffic of $site, seed $seed, over ${#zones[@]} balancers and $serverCount servers"

waitUntil 15
startBalancer "${zones[0]}"
"$standin" wait "$fabric" /counters --field balancers --at-least $((${#zones[@]} + 1))
kill -TERM "${balancerPids[0]}"
step "balancer-1 replaced by balancer-$balancerCount"

waitUntil 30
"$standin" call POST "${serverHealths[1]}" /drain >/dev/null
step "$longService-2 drains"

waitUntil 42
"$standin" call POST "${serverHealths[3]}" /chill >/dev/null
step "$longService-4 turned cold silently"

waitUntil 55
leaving=${zones[2]}
"$standin" call POST "$fabric" "/zone/out/$leaving" >/dev/null
operator --author demo --reason "maintenance of $leaving" domain out "$leaving" |
    sed 's/^/         /'
accepted=$(date +%s%3N)
step "$leaving taken out of service"

waitUntil 80
leavingHealths=()
for i in "${!serverZones[@]}"; do
    [ "${serverZones[i]}" != "$leaving" ] || leavingHealths+=("${serverHealths[i]}")
done
afterZoneOut=$("$standin" last-packet --since "$accepted" "${leavingHealths[@]}")
operator --author demo --reason "maintenance done" domain in "$leaving" | sed 's/^/         /'
"$standin" call POST "$fabric" "/zone/in/$leaving" >/dev/null
step "$leaving returned to service"

waitUntil 100
"$standin" call POST "$fabric" /finish >/dev/null
step "no new callers; sessions close"
wait "$fabricPid"
kill -0 "${balancerPids[0]}" 2>/dev/null && step "balancer-1 has not ended yet"
hasVerdict=yes
"$standin" verdict "$work/fabric.out" --after-zone-out "$afterZoneOut" \
    --min-flows $((seconds * 25))
