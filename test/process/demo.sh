#!/usr/bin/env bash
# The whole path with real processes on loopback: a request, then a gang job. Stops by itself;
# the exit status is not zero if any step failed.
set -euo pipefail
BIN=${1:?the build folder}
source "$(dirname "$0")/lib.sh"

step() { printf '\n== %s\n' "$*"; }
run() {
    printf '$ pierbank %q\n' "$1"
    pb 1 "$1"
}
run_refused() {
    printf '$ pierbank %q\n' "$1"
    local status=0
    pb 1 "$1" || status=$?
    ((status == 1))
}

step "starting: platform stand-ins, 2 gateways, 4 workers and 2 endpoints with their sidecars"
start platform "$BIN/test/pierbank-standin" --key-value "$KEY_VALUE" --hosts "$HOST_LIST" \
    --worker "$(worker_of 1)" --worker "$(worker_of 2)" --worker "$(worker_of 3)" \
    --worker "$(worker_of 4)" --endpoint "$(endpoint_of 1)" --endpoint "$(endpoint_of 2)"
until_true 10 curl -fsS "http://$HOST_LIST/hosts"
put_hosts \
    "$(host_line w1 worker "$(worker_sidecar_of 1)" hall-a r1)" \
    "$(host_line w2 worker "$(worker_sidecar_of 2)" hall-a r1)" \
    "$(host_line w3 worker "$(worker_sidecar_of 3)" hall-b r2)" \
    "$(host_line w4 worker "$(worker_sidecar_of 4)" hall-b r2)" \
    "$(host_line e1 endpoint "$(endpoint_sidecar_of 1)" hall-a r1)" \
    "$(host_line e2 endpoint "$(endpoint_sidecar_of 2)" hall-b r2)"
for i in 1 2 3 4; do start_worker_sidecar "$i"; done
for i in 1 2; do start_endpoint_sidecar "$i"; done
write_gateway_settings 1 hall-a
write_gateway_settings 2 hall-b
start_gateway 1
start_gateway 2
until_true 20 health_has 1 '"sidecars_linked":6'
until_true 20 pb 1 "show workers"
for i in 1 2 3 4; do until_true 20 worker_is 1 "w$i" live; done

step "organisations and guarantees"
run "organisation create factoring"
run "organisation create forecast"
run "guarantee factoring 1 of 2x8 within rack"
run_refused "guarantee forecast 2 of 2x8 within rack"
run "guarantee forecast 1 of 1x8"
run "show organisations"

step "a request: caller -> gateway -> sidecar -> endpoint, and its whole answer back"
answer=$(call 1 /assess/invoices/17 -i -X POST -d 'invoice 17: 1200 EUR')
echo "$answer"
grep -q 'invoice 17: 1200 EUR' <<<"$answer"
grep -qi 'Pierbank-Outcome: ran' <<<"$answer"

step "small borrowed jobs fill the racks"
for i in 1 2 3 4; do run "submit job small-$i for forecast shape 1x4 runtime 10min"; done
run "submit job big-fill for forecast shape 1x8 runtime 10min"
for i in 1 2 3 4; do until_true 15 job_is 1 "small-$i" running; done
run "show racks"

step "a gang of 2 workers x 8 accelerators: its organisation reclaims its guaranteed shape"
run "check submit job score-7 for factoring shape 2x8 within rack runtime 3s"
run "submit job score-7 for factoring shape 2x8 within rack runtime 3s urgent"
until_true 15 job_is 1 score-7 running
run "why job score-7"
run "show jobs order by name"

step "what waits says why"
run "submit job huge for forecast shape 4x8 runtime 1h"
run "why job huge"
run_refused "submit job never for forecast shape 9x8"

step "the gang ends; a job is withdrawn"
until_true 20 job_is 1 score-7 ended
run "why job score-7"
run "withdraw job huge"
until_true 15 job_is 1 huge withdrawn
run "show audit order by age limit 8"
run "show configuration"
run "show endpoints"

echo
echo "demo: all steps done"
