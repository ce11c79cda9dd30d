#!/usr/bin/env bash
# Functions that start the daemons and stand-ins on loopback addresses. Sourced by demo.sh, bench.sh and capacity.sh.
# Every process is stopped when the shell that sourced this file exits.

BIN=${BIN:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/bin}
WORK=$(mktemp -d)
declare -A PID

cleanup() {
  for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null || true; kill "${PID[$name]}" 2>/dev/null || true; done
  sleep 0.5
  for name in "${!PID[@]}"; do kill -9 "${PID[$name]}" 2>/dev/null || true; done
  if [ -z "${KEEP_LOGS:-}" ]; then rm -rf "$WORK"; else echo "logs kept in $WORK"; fi
}
trap cleanup EXIT

# launch NAME COMMAND... starts a background process with its log in $WORK/NAME.log.
launch() {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PID[$name]=$!
}

# Clusters with different port bases run side by side; each uses 2000 ports.
PORT_BASE=${PORT_BASE:-17000}

STORE=127.0.0.1:$((PORT_BASE + 400))
STORE_CONTROL=127.0.0.1:$((PORT_BASE + 401))
start_store() { launch store "$BIN/clementine-standin" store --listen "$STORE" --control "$STORE_CONTROL"; }

# entry_port INDEX KIND prints a port of an entry.
entry_port() { echo $((PORT_BASE + 100 * $1 + $2)); }
CALLERS=1 OPERATORS=2 LINKS=3 METRICS=4

# start_entry INDEX NAME ZONE LOG_LEVEL
start_entry() {
  cat >"$WORK/$2.yaml" <<EOF
role: entry
name: $2
region: demo
zone: $3
rack: $3-r1
listen:
  callers: 127.0.0.1:$(entry_port "$1" $CALLERS)
  operators: 127.0.0.1:$(entry_port "$1" $OPERATORS)
  links: 127.0.0.1:$(entry_port "$1" $LINKS)
  metrics: 127.0.0.1:$(entry_port "$1" $METRICS)
store:
  address: $STORE
stop_timeout: 10s
log:
  level: ${4:-info}
EOF
  launch "$2" "$BIN/clementined" entry "$WORK/$2.yaml"
}

# worker_port INDEX KIND prints a port of a worker.
worker_port() { echo $((PORT_BASE + 1000 + 10 * $1 + $2)); }
RUNTIME=1 TARGET=2 CONTROL=3 ANNOUNCE=4 AGENT_METRICS=5

# start_worker INDEX NAME ZONE SERVICE [STAND-IN FLAGS...] starts the stand-in worker and its agent.
start_worker() {
  local index=$1 name=$2 zone=$3 service=$4
  shift 4
  launch "$name-vm" "$BIN/clementine-standin" worker --name "$name" --service "$service" \
    --runtime-listen "127.0.0.1:$(worker_port "$index" $RUNTIME)" \
    --target-listen "127.0.0.1:$(worker_port "$index" $TARGET)" \
    --control "127.0.0.1:$(worker_port "$index" $CONTROL)" \
    --agent "127.0.0.1:$(worker_port "$index" $ANNOUNCE)" "$@"
  cat >"$WORK/$name.yaml" <<EOF
role: agent
name: $name
region: demo
zone: $zone
rack: $zone-r1
listen:
  metrics: 127.0.0.1:$(worker_port "$index" $AGENT_METRICS)
  targets: 127.0.0.1:$(worker_port "$index" $ANNOUNCE)
entries: [127.0.0.1:$(entry_port 1 $LINKS)]
runtime:
  address: 127.0.0.1:$(worker_port "$index" $RUNTIME)
log:
  level: ${AGENT_LOG:-info}
EOF
  start_agent "$name"
}

# start_agent NAME starts the agent of a worker whose settings file exists.
start_agent() { launch "$1" "$BIN/clementined" agent "$WORK/$1.yaml"; }

# ctl ARGUMENTS... runs clementinectl against the first entry.
ctl() { "$BIN/clementinectl" --server "127.0.0.1:$(entry_port 1 $OPERATORS)" "$@"; }

# request_url INDEX SERVICE prints the URL of a service at an entry.
request_url() { echo "http://127.0.0.1:$(entry_port "$1" $CALLERS)/v1/services/$2/request"; }

# until_ok SECONDS COMMAND... repeats a command until it succeeds.
until_ok() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $deadline ] || return 1
    sleep 0.2
  done
}

# cpu_ticks NAME prints the processor time of a process, in clock ticks.
cpu_ticks() { sed 's/.*) //' "/proc/${PID[$1]}/stat" | awk '{print $12 + $13}'; }

# resident_mb NAME prints the resident memory of a process in MB.
resident_mb() { awk '$1 == "VmRSS:" {printf "%.1f", $2 / 1024}' "/proc/${PID[$1]}/status"; }

# store_calls NAME prints the calls of one method that the store has counted, or of all with "total".
store_calls() {
  curl -s "http://$STORE_CONTROL/counters" | tr ',{}' '\n' | tr -d '" ' |
    awk -F: -v name="$1" '$2 ~ /^[0-9]+$/ && (name == "total" || $1 == name) {sum += $2} END {print sum + 0}'
}

# metric PORT NAME prints one metric of a process.
metric() { curl -s "http://127.0.0.1:$1/metrics" | awk -v name="$2" '$1 == name {print $2}'; }

# load_average prints the load of the machine over the last minute.
load_average() { cut -d' ' -f1 /proc/loadavg; }
