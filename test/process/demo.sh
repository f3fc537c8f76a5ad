#!/usr/bin/env bash
# Demonstrates pierbank with real processes on loopback: jobs from callers, statements of operators,
# a gang and a guarantee. Exits with a status other than zero if a step fails.
# usage: demo.sh BUILD_FOLDER
set -euo pipefail
BIN=${1:?the build folder}
source "$(dirname "$0")/lib.sh"

# step TITLE : prints a heading.
step() { printf '\n== %s\n' "$*"; }
# run STATEMENT : prints and runs an operator's statement at gateway 1.
run() {
    printf '$ pierbank %q\n' "$1"
    pb 1 "$1"
}
# run_refused STATEMENT : the same for a statement that must be refused with exit status 1.
run_refused() {
    printf '$ pierbank %q\n' "$1"
    local status=0
    pb 1 "$1" || status=$?
    ((status == 1))
}

step "starting: a store and 4 workers (stand-ins), 4 sidecars, 2 gateways"
start_standins
configure 1
for i in 1 2 3 4; do start_sidecar "$i"; done
for i in 1 2; do start_gateway "$i"; done
until_true 20 pb 1 "show workers"
for i in 1 2 3 4; do until_true 20 worker_is 1 "$i" live; done
run "show organisations"

step "a caller's job: accepted, run, and its end told"
id=00000000000000a1
printf '$ curl -X POST .../batch/%s\n' "$id"
call 1 POST "/batch/$id" -i -d "$(job 300)" | tr -d '\r' | head -n 1
until_true 10 state_is 2 "/batch/$id" succeeded
printf '$ curl .../batch/%s\n' "$id"
call 2 GET "/batch/$id"
echo

step "small work fills the racks"
for i in 1 2 3 4 5 6 7 8; do
    run "submit job 600000-small-$i for forecast on batch shape 1x4 runtime 10min"
done
for i in 1 8; do until_true 15 job_is 1 "600000-small-$i" running; done
run "show racks"

step "a gang of 2 workers x 8 accelerators: its organisation reclaims its guarantee"
run "check submit job 3000-score for factoring shape 2x8 within rack runtime 3s urgent"
run "submit job 3000-score for factoring shape 2x8 within rack runtime 3s urgent"
until_true 15 job_is 1 3000-score running
run "why job 3000-score"

step "what waits, and what can never run, says why"
run "submit job 600000-huge for forecast on batch shape 4x8 runtime 10min"
has_plan() { pb 1 "why job 600000-huge" | grep -q "last plan"; }
until_true 10 has_plan
run "why job 600000-huge"
run_refused "submit job never for forecast shape 5x8"
run_refused "guarantee forecast 2 of 2x8"

step "the gang ends; a job is withdrawn; a worker is drained"
until_true 20 job_is 1 3000-score succeeded
run "withdraw job 600000-huge"
until_true 15 job_is 1 600000-huge cancelled
run "worker drain $(worker_name 1)"
run "show workers"
run "show audit"
run "show configuration"

echo
echo "demo: all steps done"
