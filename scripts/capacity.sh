#!/usr/bin/env bash
# Measures three entries, the store stand-in and a fleet of agents at several sizes, and fits a line to
# each figure. Prints the table and the lines. The run takes about five minutes; six processes at a time.
set -euo pipefail
cd "$(dirname "$0")/.."

SIZES=${SIZES:-5 11 50 150 300}
IDLE_SECONDS=${IDLE_SECONDS:-15}
BURST_SECONDS=${BURST_SECONDS:-8}
RATES=${RATES:-110 220}        # submissions a second; 110 is one region's half of the peak
FULL_AGENTS=${FULL_AGENTS:-11}   # the largest size at which urgent work is measured on full workers
TEAMS=41                       # of the scale target
TABLES=$(mktemp -d)
trap 'rm -rf "$TABLES"' EXIT

# write_configuration FILE writes the region's configuration.
write_configuration() {
  cat >"$1" <<EOT
revision: 0
region: demo
entries: [entry-1, entry-2, entry-3]
zones: [{name: burnaby}, {name: surrey}, {name: nanaimo}]
teams:
  - {name: fleet-accounts, weight: 1}
EOT
  for index in $(seq 2 $TEAMS); do echo "  - {name: team-$index, weight: 1}" >>"$1"; done
  echo "weights: {tail_latency: 2, throughput: 5, evictions: 1, zone_work: 5}" >>"$1"
}

live_workers_are() { [ "$(ctl workers | grep -c live)" = "$1" ]; }
entry_metrics() { echo $((PORT_BASE + 100 * $1 + METRICS)); }

# entries_sum METRIC prints the sum of a metric over the entries.
entries_sum() {
  for index in 1 2 3; do metric "$(entry_metrics $index)" "$1"; done | awk '{sum += $1} END {printf "%.6f", sum}'
}

# counters prints time, ticks of the entries and of the fleet, bytes and frames of the fleet's links and
# of the entries' links, store calls and store writes.
counters() {
  local sent received
  sent=$(metric "$FLEET_PORT" clementine_link_sent_bytes_total) received=$(metric "$FLEET_PORT" clementine_link_received_bytes_total)
  echo "$(date +%s.%N) $(($(cpu_ticks entry-1) + $(cpu_ticks entry-2) + $(cpu_ticks entry-3))) $(cpu_ticks fleet)" \
    "$((sent + received))" \
    "$(($(metric "$FLEET_PORT" clementine_link_sent_frames_total) + $(metric "$FLEET_PORT" clementine_link_received_frames_total)))" \
    "$(entries_sum clementine_link_sent_bytes_total) $(entries_sum clementine_link_received_bytes_total)" \
    "$(entries_sum clementine_link_sent_frames_total) $(entries_sum clementine_link_received_frames_total)" \
    "$(store_calls total) $(store_calls compare_and_swap)"
}

# idle AGENTS measures without work and appends a row to the table of the idle figures. The slope of the
# figures of the whole fleet is the cost of one agent without that of its process.
idle() {
  local before average memory index
  average=$(load_average) before=$(counters)
  sleep "$IDLE_SECONDS"
  memory=$(for index in 1 2 3; do resident_mb entry-$index; echo; done | awk '{sum += $1} END {print sum / 3}')
  echo "$before $(counters)" | awk -v agents="$1" -v hz="$(getconf CLK_TCK)" -v entry="$memory" \
    -v fleet="$(resident_mb fleet)" -v average="$average" '{
      seconds = $12 - $1
      printf "%d %.3f %.1f %.3f %.3f %.0f %.2f %.0f %.1f %.2f %.2f %s\n", agents,
        100 * ($13 - $2) / hz / seconds / 3, entry, 100 * ($14 - $3) / hz / seconds, fleet,
        ($15 - $4 + 60 * ($16 - $5)) / seconds / agents, ($16 - $5) / seconds / agents,
        ($17 + $18 - $6 - $7 + 60 * ($19 + $20 - $8 - $9)) / seconds / 3, ($19 + $20 - $8 - $9) / seconds / 3,
        ($21 - $10) / seconds, ($22 - $11) / seconds, average}' >>"$TABLES/idle"
}

# propagate AGENTS measures four changes of the configuration and appends the longest time.
propagate() {
  local average began longest=0 order
  average=$(load_average)
  for order in "out nanaimo --reason measurement" "in nanaimo" "out nanaimo --reason measurement" "in nanaimo"; do
    began=$(date +%s%N)
    # shellcheck disable=SC2086
    ctl zone $order --wait >/dev/null 2>&1
    longest=$(awk -v longest="$longest" -v took=$((($(date +%s%N) - began) / 1000000)) 'BEGIN {print (took > longest ? took : longest)}')
  done
  echo "$1 $longest $average" >>"$TABLES/change"
}

# burst AGENTS RATE submits tasks and appends a row to the table of the bursts.
burst() {
  local average tasks=$(($2 * BURST_SECONDS)) before plans plan_seconds started summary report
  average=$(load_average) before=$(counters) plans=$(entries_sum clementine_plan_seconds_count)
  plan_seconds=$(entries_sum clementine_plan_seconds_sum)
  curl -s -X DELETE "http://127.0.0.1:$FLEET_PORT/starts"
  report=$("$BIN/clementine-standin" submit --tasks "$tasks" --rate "$2" --urgent-every 20 --prefix "rate-$2" --run-time 500ms \
    --servers "$SERVERS")
  echo "$1 agents, rate $2: $report" >>"$TABLES/reports"
  started="$(counters)"
  for _ in $(seq 20); do
    summary=$(curl -s "http://127.0.0.1:$FLEET_PORT/starts")
    [ "$(field count "$summary" | awk '{sum += $1} END {print sum}')" -ge "$tasks" ] && break
    sleep 0.5
  done
  plans=$(awk -v a="$plans" -v b="$(entries_sum clementine_plan_seconds_count)" 'BEGIN {print b - a}')
  plan_seconds=$(awk -v a="$plan_seconds" -v b="$(entries_sum clementine_plan_seconds_sum)" 'BEGIN {print b - a}')
  echo "$before $started $(field count "$summary" | paste -sd' ') $(field p99_ms "$summary" | paste -sd' ') $(field per_second "$summary") $(field peak_second "$summary")" |
    awk -v agents="$1" -v rate="$2" -v tasks="$tasks" -v hz="$(getconf CLK_TCK)" -v plans="$plans" -v plan="$plan_seconds" -v average="$average" '{
      seconds = $12 - $1
      printf "%d %d %d %d %.1f %d %.0f %.0f %.1f %.1f %.2f %.1f %.0f %s\n", agents, rate, tasks, $23 + $24, $27, $28, $25, $26,
        ($21 - $10) / seconds, ($22 - $11) / seconds, plans ? 1000 * plan / plans : 0, 100 * ($13 - $2) / hz / seconds / 3,
        ($15 - $4 + 60 * ($16 - $5)) / seconds / agents, average}' >>"$TABLES/burst"
}

# full AGENTS fills the workers with long tasks and appends how fast urgent tasks start, each of which needs
# an eviction.
full() {
  local average held=$(($1 * 16)) urgent=20 summary
  average=$(load_average)
  "$BIN/clementine-standin" submit --tasks $held --rate 100 --prefix full --cpu 1 --run-time 10m --servers "$SERVERS" >/dev/null
  sleep 4
  curl -s -X DELETE "http://127.0.0.1:$FLEET_PORT/starts"
  "$BIN/clementine-standin" submit --tasks $urgent --rate 5 --urgent-every 1 --prefix urgent --cpu 1 --run-time 10m --servers "$SERVERS" >/dev/null
  sleep 5
  summary=$(curl -s "http://127.0.0.1:$FLEET_PORT/starts")
  echo "$1 $held $urgent $(field count "$summary" | tail -1) $(field p50_ms "$summary" | tail -1) $(field max_ms "$summary" | tail -1) $average" >>"$TABLES/full"
}

# field NAME JSON prints the values of a numeric field, one a line.
field() { grep -o "\"$1\":[0-9.]*" <<<"$2" | cut -d: -f2; }

# measure AGENTS runs one size; the processes end with the subshell.
measure() (
  # shellcheck source=scripts/cluster.sh
  . scripts/cluster.sh
  FLEET_PORT=$((PORT_BASE + 500))
  SERVERS="127.0.0.1:$(entry_port 1 $OPERATORS),127.0.0.1:$(entry_port 2 $OPERATORS),127.0.0.1:$(entry_port 3 $OPERATORS)"
  write_configuration "$WORK/configuration.yaml"
  start_store
  start_entry 1 entry-1 burnaby
  start_entry 2 entry-2 surrey
  start_entry 3 entry-3 nanaimo
  until_ok 20 ctl apply -f "$WORK/configuration.yaml"
  launch fleet "$BIN/clementine-standin" fleet --agents "$1" --zones burnaby,surrey,nanaimo --control "127.0.0.1:$FLEET_PORT" \
    --entries "127.0.0.1:$(entry_port 1 $LINKS)"
  until_ok 30 live_workers_are "$1"
  sleep 5
  idle "$1"
  propagate "$1"
  for rate in $RATES; do
    burst "$1" "$rate"
    sleep 2
  done
  if [ "$1" -le "$FULL_AGENTS" ]; then full "$1"; fi
)

echo "agents entry_cpu% entry_MB agents_cpu% agents_MB agent_B/s agent_frames/s entry_B/s entry_frames/s store_calls/s store_writes/s load" >"$TABLES/idle"
echo "agents longest_ms load" >"$TABLES/change"
echo "agents rate tasks started starts/s peak/s p99_ms urgent_p99_ms calls/s writes/s plan_ms entry_cpu% agent_B/s load" >"$TABLES/burst"
echo "agents held urgent started p50_ms max_ms load" >"$TABLES/full"
for size in $SIZES; do measure "$size"; done

echo "== without work: one entry, all agents of the fleet together, links of one agent and of one entry =="
column -t "$TABLES/idle"
sed 's/ [^ ]*$//' "$TABLES/idle" >"$TABLES/lines" # without the load average
bin/clementine-standin slopes "$TABLES/lines"
echo "== a configuration change in force everywhere, longest of four (polled every 500 ms) =="
column -t "$TABLES/change"
for rate in $RATES; do
  echo "== burst of $rate submissions a second over $BURST_SECONDS s, each twentieth urgent =="
  awk -v rate="$rate" 'NR == 1 || $2 == rate' "$TABLES/burst" | column -t
done
echo "== urgent tasks on workers full of other work =="
column -t "$TABLES/full"
echo "== submissions =="
cat "$TABLES/reports"
