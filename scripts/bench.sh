#!/usr/bin/env bash
# Measures the request path against direct calls of the target, an idle agent, and the store calls.
# Prints one table, and what a start costs the coordinator's planner at several sizes. The run takes about
# three minutes and uses at most 18 processes.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh

DURATION=${DURATION:-6s}     # of each load run
IDLE_SECONDS=${IDLE_SECONDS:-30}
CONCURRENCY=${CONCURRENCY:-32} # requests in flight of a closed loop
WORKERS=${WORKERS:-6}        # an agent remembers each request for its deadline and 5 s more, 73728 at most
TASKS=${TASKS:-40}

row() { printf '%-34s %9s %8s %8s %9s %9s %8s %6s\n' "$@"; }

# all_ticks prints the processor time of all daemons and stand-ins, in clock ticks.
all_ticks() { for name in "${!PID[@]}"; do cpu_ticks "$name"; done | awk '{sum += $1} END {print sum}'; }

# load NAME FLAGS AND URLS... prints one row and sets rate, p99 and cost (processor time of
# all processes, the load client included, in us a request) of the run.
load() {
  local name=$1 text average ticks TIMEFORMAT='%U %S'
  shift
  average=$(load_average) ticks=$(all_ticks)
  text=$({ time "$BIN/clementine-standin" load "$@" --timeout 500ms --duration "$DURATION"; } 2>"$WORK/time")
  cost=$(awk -v ticks=$(($(all_ticks) - ticks)) -v hz="$(getconf CLK_TCK)" -v answered="$(awk '{print $4}' <<<"$text")" \
    '{printf "%.0f", 1e6 * (ticks / hz + $1 + $2) / (answered ? answered : 1)}' "$WORK/time")
  echo "$name: $text" >>"$WORK/loads"
  read -r lost rate p50 p99 p999 <<<"$(awk '{
    gsub(",", ""); for (i = 1; i < NF; i++) value[$i] = $(i + 1)
    print value["sent"] - value["answered"] + value["skipped"], value["rate"], value["p50"], value["p99"], value["p99.9"]
  }' <<<"$(sed -E 's/, ([0-9]+)\/s,/ rate \1/' <<<"$text")")"
  row "$name" "$rate" "$p50" "$p99" "$p999" "$cost" "$lost" "$average"
}

# calls_per_second SECONDS prints the store calls a second, in all and as compare-and-swaps.
calls_per_second() {
  local all cas
  all=$(store_calls total) cas=$(store_calls compare_and_swap)
  sleep "$1"
  awk -v seconds="$1" -v all=$(($(store_calls total) - all)) -v cas=$(($(store_calls compare_and_swap) - cas)) \
    'BEGIN {printf "%.2f %.2f", all / seconds, cas / seconds}'
}
live_workers_are() { [ "$(ctl workers | grep -c live)" = "$1" ]; }
finished_are() { [ "$(ctl list | grep -ci finished)" -ge "$1" ]; }

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
echo '{"run_ms":100}' >"$WORK/task.json"

target=(--service-time 0s --slots 32 --connections 32)
start_store
start_entry 1 entry-1 burnaby
start_entry 2 entry-2 surrey
start_entry 3 entry-3 burnaby
start_worker 1 burnaby-1 burnaby intake "${target[@]}"
until_ok 20 ctl apply -f "$WORK/configuration.yaml"
until_ok 20 live_workers_are 1
path=$(request_url 1 intake)
until_ok 20 "$BIN/clementine-standin" request "$path"

echo "idle agent over $IDLE_SECONDS s, one worker, links to three entries:"
port=$(worker_port 1 $AGENT_METRICS)
sleep 5
measure_links() { # prints the bytes and frames of the agent's links, both ways
  echo $(($(metric "$port" clementine_link_sent_bytes_total) + $(metric "$port" clementine_link_received_bytes_total))) \
    $(($(metric "$port" clementine_link_sent_frames_total) + $(metric "$port" clementine_link_received_frames_total)))
}
average=$(load_average)
read -r bytes frames <<<"$(measure_links)"
ticks=$(cpu_ticks burnaby-1)
read -r calls writes <<<"$(calls_per_second "$IDLE_SECONDS")"
ticks=$(($(cpu_ticks burnaby-1) - ticks))
read -r bytes_after frames_after <<<"$(measure_links)"
awk -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" -v seconds="$IDLE_SECONDS" -v memory="$(resident_mb burnaby-1)" \
  -v bytes=$((bytes_after - bytes)) -v frames=$((frames_after - frames)) -v average="$average" 'BEGIN {
    printf "%-34s %10s %10s %6s\n", "idle agent", "measured", "bound", "load"
    printf "%-34s %9.2f%% %10s %6s\n", "processor, of a core", 100 * ticks / hz / seconds, "2.8%", average
    printf "%-34s %10.1f %10s %6s\n", "resident memory, MB", memory, "128", average
    printf "%-34s %10.0f %10s %6s\n", "link bytes a second with headers", (bytes + 60 * frames) / seconds, "2048", average
    printf "%-34s %10.1f %10s %6s\n", "link frames a second", frames / seconds, "-", average
  }'

for index in $(seq 2 "$WORKERS"); do start_worker "$index" burnaby-"$index" burnaby intake "${target[@]}"; done
until_ok 20 live_workers_are "$WORKERS"
for index in $(seq "$WORKERS"); do direct+=("http://127.0.0.1:$(worker_port "$index" $TARGET)/"); done
sleep 2
idle_average=$(load_average)
read -r idle_calls idle_writes <<<"$(calls_per_second 10)"

echo
echo "requests, $WORKERS workers, one entry with its decision log in a file, targets that answer at once:"
row "requests" "rate /s" "p50 us" "p99 us" "p99.9 us" "cpu us" "not ans." "load"
load "direct, closed loop" --concurrency "$CONCURRENCY" "${direct[@]}"
direct_rate=$rate direct_cost=$cost
load "path, closed loop" --concurrency "$CONCURRENCY" "$path"
path_rate=$rate path_cost=$cost
load "path, three entries, closed loop" --concurrency "$CONCURRENCY" "$path" "$(request_url 2 intake)" "$(request_url 3 intake)"
entries_rate=$rate
for share in 0.2 0.5 0.9; do
  at=$(awk -v rate="$path_rate" -v share=$share 'BEGIN {print int(rate * share)}')
  load "direct, open loop, $share of path" --concurrency 64 --rate "$at" "${direct[@]}"
  direct_p99=$p99
  load "path, open loop, $share of path" --concurrency 64 --rate "$at" "$path"
  added="${added:-}$(awk -v share=$share -v direct="$direct_p99" -v path="$p99" \
    'BEGIN {printf "%-34s %10.2f %10s\n", "p99 added at " share " of capacity, ms", (path - direct) / 1000, share == 0.5 ? "2" : "-"}')"$'\n'
done
echo
printf '%-34s %10s %10s\n' "path against direct" "measured" "wanted"
awk -v path="$path_rate" -v direct="$direct_rate" 'BEGIN {printf "%-34s %10.2f %10s\n", "throughput ratio, one entry", path / direct, "0.25"}'
awk -v path="$entries_rate" -v direct="$direct_rate" 'BEGIN {printf "%-34s %10.2f %10s\n", "throughput ratio, three entries", path / direct, "0.25"}'
awk -v path="$path_cost" -v direct="$direct_cost" 'BEGIN {printf "%-34s %10.2f %10s\n", "processor time, direct to path", direct / path, "-"}'
printf '%s' "$added"

echo
printf '%-34s %10s %10s %6s\n' "store calls a second" "all" "writes" "load"
printf '%-34s %10s %10s %6s\n' "idle, 1 worker" "$calls" "$writes" "$average"
printf '%-34s %10s %10s %6s\n' "idle, $WORKERS workers" "$idle_calls" "$idle_writes" "$idle_average"
average=$(load_average)
all=$(store_calls total) cas=$(store_calls compare_and_swap) began=$(date +%s.%N)
for index in $(seq "$TASKS"); do
  ctl submit --kind batch --team fleet-accounts --name "bench-$index" --class bend-plan --processors 1 --memory 1GB \
    --payload-file "$WORK/task.json" >/dev/null
done
until_ok 30 finished_are "$TASKS"
awk -v seconds="$(awk -v now="$(date +%s.%N)" -v began="$began" 'BEGIN {print now - began}')" -v all=$(($(store_calls total) - all)) \
  -v cas=$(($(store_calls compare_and_swap) - cas)) -v tasks="$TASKS" -v average="$average" 'BEGIN {
    printf "%-34s %10.2f %10.2f %6s\n", sprintf("%d tasks in %.1f s, one by one", tasks, seconds), all / seconds, cas / seconds, average
    printf "%-34s %10s %10.2f\n", "writes per task", "", cas / tasks
  }'

echo
echo "planner of the users' platform, one operation is one start:"
go test -run '^$' -bench 'Planner|IdlePass' -benchtime 3000x ./internal/planner | grep '^Benchmark'
