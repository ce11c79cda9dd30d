#!/usr/bin/env bash
# Measures what callers see without a failure and during one failure at a time: answered, "not run",
# unknown, and the longest time between two answers. Requests are non-idempotent; the load goes to all
# entries, as from a balancer that does not notice a failure, and the failures hit the zone of the entries,
# which gets the requests. Takes about three minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh

RATE=${RATE:-300}
SECONDS_BEFORE=3 # from the begin of the load to the failure
DURATION=${DURATION:-14s}

cat >"$WORK/configuration.yaml" <<EOT
revision: 0
region: demo
entries: [entry-1, entry-2, entry-3]
zones: [{name: burnaby}, {name: surrey}]
teams: [{name: fleet-accounts, weight: 1}]
services:
  - {name: intake, team: fleet-accounts, class: intake-check, timeout: 2s, size: {processors: 1, memory: 1GB}}
weights: {tail_latency: 2, throughput: 5, evictions: 1, zone_work: 5}
EOT

live_workers_are() { [ "$(ctl workers | grep -c live)" = "$1" ]; }
entries_are() { [ "$(ctl entries | grep -c true)" = "$1" ]; }
# answers INDEX succeeds if an entry answers a request.
answers() { "$BIN/clementine-standin" request "$(request_url "$1" intake)"; }
settled() { live_workers_are 4 && entries_are 3 && answers 1 && answers 2 && answers 3; }

# kill_hard NAME... ends processes without notice.
kill_hard() {
  local each
  for each in "$@"; do kill -9 "${PID[$each]}"; done
}

no_failure() { :; }
entry_killed() { kill_hard entry-3; }
entry_killed_repair() { start_entry 3 entry-3 burnaby; }
entry_frozen() { kill -STOP "${PID[entry-3]}"; }
entry_frozen_repair() { kill -CONT "${PID[entry-3]}"; }
agent_killed() { kill_hard burnaby-1 && sleep 1 && start_agent burnaby-1; }
agent_frozen() { kill -STOP "${PID[burnaby-1]}"; }
agent_frozen_repair() { kill -CONT "${PID[burnaby-1]}"; }
vm_killed() { kill_hard burnaby-2 burnaby-2-vm; }
vm_killed_repair() { start_worker 2 burnaby-2 burnaby intake --service-time 5ms; }
store_frozen() { kill -STOP "${PID[store]}"; }
store_frozen_repair() { kill -CONT "${PID[store]}"; }
zone_leaves() { ctl zone out burnaby --reason measurement >/dev/null && sleep 5 && ctl zone in burnaby >/dev/null; }

# measure NAME FAILURE prints one row.
measure() {
  local name=$1 failure=$2 urls=() text
  until_ok 40 settled || { echo "$name: the region did not settle" && return 1; }
  for index in 1 2 3; do urls+=("$(request_url $index intake)"); done
  "$BIN/clementine-standin" load --method POST --no-idempotent --rate "$RATE" --concurrency 400 --timeout 2s \
    --duration "$DURATION" -o json "${urls[@]}" >"$WORK/load.json" &
  local load=$!
  sleep $SECONDS_BEFORE
  $failure
  wait $load
  text=$(tr ',{}' '\n\n\n' <"$WORK/load.json")
  field() { awk -F: -v key="\"$1\"" '$1 == key {print $2}' <<<"$text"; }
  printf '%-30s %6s %9s %8s %8s %10s %12s %9s %12.0f\n' "$name" "$(field sent)" "$(field answered)" "$(field not_run)" \
    "$(field unknown)" "$(field transport)" "$(field wrong_answer)" "$(field p99_us)" \
    "$(awk -v ns="$(field longest_gap_ns)" 'BEGIN {print ns / 1e6}')"
  if declare -F "${failure}_repair" >/dev/null; then "${failure}_repair"; fi
}

start_store
for index in 1 2 3; do start_entry $index entry-$index burnaby; done
start_worker 1 burnaby-1 burnaby intake --service-time 5ms
start_worker 2 burnaby-2 burnaby intake --service-time 5ms
start_worker 3 surrey-1 surrey intake --service-time 5ms
start_worker 4 surrey-2 surrey intake --service-time 5ms
until_ok 20 ctl apply -f "$WORK/configuration.yaml"

printf '%-30s %6s %9s %8s %8s %10s %12s %9s %12s\n' "failure 3 s into the load" sent answered not-run unknown transport wrong-answer "p99 us" "gap ms"
measure "none" no_failure
measure "entry killed" entry_killed
measure "entry frozen" entry_frozen
measure "agent killed, restarted" agent_killed
measure "agent frozen" agent_frozen
measure "worker VM killed" vm_killed
measure "store frozen" store_frozen
measure "zone out for 5 s, back in" zone_leaves
