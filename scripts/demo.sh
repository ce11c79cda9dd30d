#!/usr/bin/env bash
# Starts a small region on loopback, shows one request, one batch job, one watch, and an availability
# zone that leaves and returns. Ends with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh

passed=0 failed=0
# check TEXT COMMAND... counts a command as passed or failed.
check() {
  local text=$1
  shift
  if "$@" >"$WORK/check.out" 2>&1; then
    passed=$((passed + 1)) && echo "ok    $text"
  else
    failed=$((failed + 1)) && echo "FAIL  $text" && sed 's/^/      /' "$WORK/check.out"
  fi
}
# field TASK NAME prints one field of a task.
field() { ctl get "$1" -o yaml | awk -v name="$2:" '$1 == name {print $2; exit}'; }
# runs_outside TASK ZONE succeeds if the task runs on a worker of another zone.
runs_outside() { state_is "$1" TASK_STATE_RUNNING && [[ "$(field "$1" worker)" != "$2"-* ]]; }
refused() { ! ctl submit --kind batch --team fleet-accounts --name refused --class bend-plan "$@"; }
live_workers_are() { [ "$(ctl workers | grep -c live)" = "$1" ]; }
state_is() { [ "$(field "$1" state)" = "$2" ]; }

cat >"$WORK/configuration.yaml" <<EOF
revision: 0
region: demo
entries: [entry-1, entry-2]
zones: [{name: burnaby}, {name: surrey}]
teams:
  - {name: fleet-accounts, weight: 1}
  - {name: depot-dispatch, weight: 2}
services:
  - {name: intake, team: depot-dispatch, class: intake-check, timeout: 2s, size: {processors: 1, memory: 1GB}}
weights: {tail_latency: 2, throughput: 5, evictions: 1, zone_work: 5}
EOF

echo '{"run_ms":1500}' >"$WORK/plan.json"
echo '{}' >"$WORK/monitor.json"

echo "starting the store stand-in, two entries and three workers in two zones"
start_store
start_entry 1 entry-1 burnaby
start_entry 2 entry-2 surrey
start_worker 1 burnaby-1 burnaby intake
start_worker 2 burnaby-2 burnaby intake
start_worker 3 surrey-1 surrey intake

check "the configuration is applied" until_ok 10 ctl apply -f "$WORK/configuration.yaml"
check "three workers are live" until_ok 15 live_workers_are 3
check "an intake check is answered through entry-1" until_ok 10 "$BIN/clementine-standin" request "$(request_url 1 intake)"
check "an intake check is answered through entry-2" until_ok 10 "$BIN/clementine-standin" request "$(request_url 2 intake)"

check "a bend plan is submitted" until_ok 10 ctl submit --kind batch --team fleet-accounts --name plan-1 --class bend-plan \
  --processors 2 --memory 1GB --payload-file "$WORK/plan.json"
check "the bend plan finishes" until_ok 20 state_is batch/fleet-accounts/plan-1 TASK_STATE_FINISHED
check "a kiln monitor is submitted as a watch" until_ok 10 ctl submit --kind watch --team fleet-accounts --name kiln-1 --class kiln-monitor \
  --processors 1 --memory 1GB --payload-file "$WORK/monitor.json"
check "the kiln monitor runs" until_ok 20 state_is watch/fleet-accounts/kiln-1 TASK_STATE_RUNNING
first=$(field watch/fleet-accounts/kiln-1 worker)
zone=${first%-*}
echo "      the kiln monitor runs on $first; taking zone $zone out of service"
check "zone $zone is out of service and in force everywhere" ctl zone out "$zone" --reason "shop move" --wait
check "the kiln monitor moved to the other zone" until_ok 30 runs_outside watch/fleet-accounts/kiln-1 "$zone"
check "an intake check is still answered" until_ok 10 "$BIN/clementine-standin" request "$(request_url 1 intake)"
check "zone $zone is back in service" ctl zone in "$zone" --wait
check "the decisions about the kiln monitor are explained" ctl explain watch/fleet-accounts/kiln-1
ctl explain watch/fleet-accounts/kiln-1 | sed 's/^/      /'
check "a task that no worker could hold is refused" refused --processors 1000 --memory 1GB
ctl list | sed 's/^/      /'
echo "$passed passed, $failed failed"
[ $failed = 0 ]
