#!/usr/bin/env bash
# Failures with real processes on loopback: killed, frozen, cut off, and the platform's service
# down, silent or slow. Each case says what it saw; the last line counts them.
set -euo pipefail
BIN=${1:?the build folder}
ONLY=${2:-}
export BASE_PORT=${BASE_PORT:-17000}
source "$(dirname "$0")/lib.sh"

PASSED=0
FAILED=0

check() { # check NAME COMMAND...
    local name=$1
    shift
    [ -n "$ONLY" ] && [ "$ONLY" != "$name" ] && return 0
    # Not in a condition: there a function would go on after a command that failed.
    local status
    set +e
    (
        set -e
        "$@"
    ) >"$WORK/case.log" 2>&1
    status=$?
    set -e
    if ((status == 0)); then
        echo "ok: $name"
        PASSED=$((PASSED + 1))
    else
        echo "FAILED: $name"
        tail -n 20 "$WORK/case.log"
        FAILED=$((FAILED + 1))
    fi
}

leader() { # prints the number of the gateway that leads
    local i
    for i in 1 2; do
        health_has "$i" '"leading":true' 2>/dev/null && { echo "$i"; return 0; }
    done
    return 1
}
other() { echo $((3 - $1)); }
signal() { kill "-$1" "$(pid_of "$2")"; }
is_gone() { ! kill -0 "$(pid_of "$1")"; }
# Kills a process and waits until its addresses are free again.
kill_now() {
    signal KILL "$1"
    until_true 20 is_gone "$1"
}
fault() { curl -fsS -X POST "http://$KEY_VALUE/fault?$1" >/dev/null; }
service_answers() { curl -fsS -m 2 "http://$KEY_VALUE/keys?prefix=x" >/dev/null; }
journal() { curl -fsS "http://$(worker_of "$1")/journal"; }
ran() { curl -fsS "http://$(endpoint_of "$1")/_ran"; }
all_live() { for w in 1 2 3 4; do worker_is "$1" "w$w" live || return 1; done; }
ready() {
    local lead
    lead=$(leader) && health_has 1 '"sidecars_linked":6' && health_has 2 '"sidecars_linked":6' &&
        all_live "$lead"
}
job_attempt() { # job_attempt GATEWAY JOB
    pb_json "$1" "show jobs where name = $2" |
        python3 -c 'import json,sys; print(int(json.load(sys.stdin)["table"]["rows"][0][8]))'
}
pb_json() {
    "$BIN/tools/pierbank" --json --gateway "$(operators_of "$1")" --token "$ALICE" "$2"
}
# double_run JOB : whether two attempts of a job overlapped on the workers, or a task ran twice.
no_double_run() {
    for w in 1 2 3 4; do journal "$w"; echo; done >"$WORK/journals"
    python3 - "$1" "$WORK/journals" <<'PY'
import json, sys
job, path = sys.argv[1], sys.argv[2]
spans = {}
for line in open(path):
    if not line.strip():
        continue
    for event in json.loads(line):
        name, attempt, member = event["task"].rsplit("/", 2)
        if name != job:
            continue
        span = spans.setdefault((int(attempt), int(member)), [None, float("inf")])
        if event["state"] == "running":
            assert span[0] is None, "a task was started twice"
            span[0] = event["at"]
        else:
            span[1] = min(span[1], event["at"])
spans = list(spans.items())
for (a, _), (start_a, end_a) in spans:
    for (b, _), (start_b, end_b) in spans:
        if a < b:
            assert end_a <= start_b, f"attempts {a} and {b} overlap"
PY
}

up() {
    start platform "$BIN/test/pierbank-standin" --key-value "$KEY_VALUE" --hosts "$HOST_LIST" \
        --worker "$(worker_of 1)" --worker "$(worker_of 2)" --worker "$(worker_of 3)" \
        --worker "$(worker_of 4)" --endpoint "$(endpoint_of 1)" --endpoint "$(endpoint_of 2)"
    until_true 20 curl -fsS "http://$HOST_LIST/hosts"
    hosts_all_live
    for i in 1 2 3 4; do start_worker_sidecar "$i"; done
    for i in 1 2; do start_endpoint_sidecar "$i"; done
    write_gateway_settings 1 hall-a
    write_gateway_settings 2 hall-b
    start_gateway 1
    start_gateway 2
    until_true 30 ready
    pb "$(leader)" "organisation create factoring"
    pb "$(leader)" "organisation create forecast"
}
hosts_all_live() {
    put_hosts \
        "$(host_line w1 worker "$(worker_sidecar_of 1)" hall-a r1)" \
        "$(host_line w2 worker "$(worker_sidecar_of 2)" hall-a r1)" \
        "$(host_line w3 worker "$(worker_sidecar_of 3)" hall-b r2)" \
        "$(host_line w4 worker "$(worker_sidecar_of 4)" hall-b r2)" \
        "$(host_line e1 endpoint "$(endpoint_sidecar_of 1)" hall-a r1 "${E1_STATE:-live}")" \
        "$(host_line e2 endpoint "$(endpoint_sidecar_of 2)" hall-b r2)"
}

killed_leader_is_replaced_and_work_goes_on() {
    local lead
    lead=$(leader)
    pb "$lead" "submit job adopted for factoring shape 2x8 runtime 10min"
    until_true 15 job_is "$lead" adopted running
    local attempt
    attempt=$(job_attempt "$lead" adopted)
    kill_now "gateway$lead"
    local next
    next=$(other "$lead")
    until_true 20 health_has "$next" '"leading":true'
    until_true 20 pb "$next" "submit job after-kill for factoring shape 1x4 runtime 1s"
    until_true 20 job_is "$next" after-kill ended
    [ "$(job_attempt "$next" adopted)" = "$attempt" ]
    job_is "$next" adopted running
    start_gateway "$lead"
    until_true 20 health_has "$lead" '"sidecars_linked":6'
    pb "$next" "withdraw job adopted"
    until_true 15 job_is "$next" adopted withdrawn
    no_double_run adopted
}

frozen_leader_cannot_commit_when_it_wakes() {
    local lead next
    lead=$(leader)
    next=$(other "$lead")
    signal STOP "gateway$lead"
    until_true 20 health_has "$next" '"leading":true'
    until_true 20 pb "$next" "submit job while-frozen for factoring shape 1x4 runtime 10min"
    until_true 20 job_is "$next" while-frozen running
    signal CONT "gateway$lead"
    until_true 20 health_has "$lead" '"leading":false'
    job_is "$next" while-frozen running
    pb "$next" "withdraw job while-frozen"
    until_true 15 job_is "$next" while-frozen withdrawn
    no_double_run while-frozen
}

killed_worker_sidecar_finds_its_tasks_again() {
    local lead
    lead=$(leader)
    pb "$lead" "submit job kept for factoring shape 4x8 runtime 10min"
    until_true 15 job_is "$lead" kept running
    local attempt
    attempt=$(job_attempt "$lead" kept)
    kill_now worker-sidecar1
    start_worker_sidecar 1
    until_true 20 all_live "$lead"
    job_is "$lead" kept running
    [ "$(job_attempt "$lead" kept)" = "$attempt" ]
    pb "$lead" "withdraw job kept"
    until_true 15 job_is "$lead" kept withdrawn
    no_double_run kept
}

frozen_worker_sidecar_loses_its_work_only_once() {
    local lead
    lead=$(leader)
    pb "$lead" "submit job moved for factoring shape 2x8 within rack runtime 10min"
    until_true 15 job_is "$lead" moved running
    local attempt held
    attempt=$(job_attempt "$lead" moved)
    held=$(pb "$lead" "show jobs where name = moved" | grep -o 'w[1-4]' | head -n 1)
    signal STOP "worker-sidecar${held#w}"
    until_true 30 worker_is "$lead" "$held" lost
    moved_again() {
        job_is "$lead" moved running && [ "$(job_attempt "$lead" moved)" -gt "$attempt" ]
    }
    until_true 30 moved_again
    signal CONT "worker-sidecar${held#w}"
    until_true 20 all_live "$lead"
    pb "$lead" "withdraw job moved"
    until_true 15 job_is "$lead" moved withdrawn
    no_double_run moved
}

killed_endpoint_sidecar_leaves_never_requests_unknown() {
    call 1 '/assess/pay?sleep=5000' -o "$WORK/answer" -D "$WORK/headers" -X POST -d x \
        -H 'Pierbank-Repeat: never' -H 'X-Test-Id: kill-1' &
    local caller=$!
    until_true 10 sees_id kill-1
    local at=1
    ran 2 | grep -q kill-1 && at=2
    kill_now "endpoint-sidecar$at"
    wait "$caller"
    grep -qi 'Pierbank-Outcome: unknown' "$WORK/headers"
    start_endpoint_sidecar "$at"
    until_true 20 health_has 1 '"sidecars_linked":6'
    [ "$(count_ran kill-1)" = 1 ]
}
sees_id() { [ "$(count_ran "$1")" -ge 1 ]; }
count_ran() {
    { ran 1; echo; ran 2; } |
        python3 -c 'import json,sys; print(sum(json.loads(l).get(sys.argv[1],0) for l in sys.stdin if l.strip()))' "$1"
}

frozen_endpoint_sidecar_does_not_hold_up_repeatable_requests() {
    signal STOP endpoint-sidecar1
    local i
    for i in $(seq 1 12); do
        call 2 "/assess/plan/$i" -f -H 'Pierbank-Timeout-Ms: 9000' >/dev/null
    done
    signal CONT endpoint-sidecar1
    until_true 20 health_has 2 '"sidecars_linked":6'
}

planned_stop_of_an_endpoint_cuts_nothing() {
    local i callers=()
    for i in 1 2 3 4 5 6; do
        call 1 "/assess/slow/$i?sleep=1500" -o /dev/null -D "$WORK/stop$i" -X POST -d x \
            -H 'Pierbank-Repeat: never' -H "X-Test-Id: stop-$i" &
        callers+=($!)
    done
    until_true 10 sees_id stop-6
    signal TERM endpoint-sidecar1
    wait "${callers[@]}"
    for i in 1 2 3 4 5 6; do
        grep -qi 'Pierbank-Outcome: ran' "$WORK/stop$i"
        [ "$(count_ran "stop-$i")" = 1 ]
    done
    until_true 20 is_gone endpoint-sidecar1
    start_endpoint_sidecar 1
    until_true 20 health_has 1 '"sidecars_linked":6'
}

planned_stop_of_a_gateway_cuts_nothing() {
    local lead
    lead=$(leader)
    call "$lead" '/assess/slow?sleep=1500' -o /dev/null -D "$WORK/stop" -X POST -d x \
        -H 'Pierbank-Repeat: never' -H 'X-Test-Id: gateway-stop' &
    local caller=$!
    until_true 10 sees_id gateway-stop
    signal TERM "gateway$lead"
    wait "$caller"
    grep -qi 'Pierbank-Outcome: ran' "$WORK/stop"
    until_true 20 health_has "$(other "$lead")" '"leading":true'
    until_true 20 is_gone "gateway$lead"
    start_gateway "$lead"
    until_true 30 ready
}

listed_leaving_endpoint_gets_no_new_work() {
    E1_STATE=leaving hosts_all_live
    drained() { pb 1 'show endpoints where name = e1 and state = leaving' | grep -q e1; }
    until_true 10 drained
    local before after i
    before=$(ran 1)
    for i in $(seq 1 10); do
        call 1 "/assess/x/$i" -f -H "X-Test-Id: leaving-$i" >/dev/null
    done
    after=$(ran 1)
    hosts_all_live
    [ "$before" = "$after" ]
}

service_down_refuses_changes_at_once_and_requests_go_on() {
    local lead
    lead=$(leader)
    pb "$lead" "submit job through for factoring shape 1x8 runtime 10min"
    until_true 15 job_is "$lead" through running
    local attempt
    attempt=$(job_attempt "$lead" through)
    fault mode=down
    refused() { ! pb "$lead" "submit job in-outage for factoring shape 1x4" 2>"$WORK/refused" &&
        grep -q 'not run' "$WORK/refused"; }
    until_true 10 refused
    call 1 /assess/in-outage -f >/dev/null
    fault mode=up
    until_true 20 pb "$lead" "submit job after-outage for factoring shape 1x4 runtime 1s"
    until_true 20 job_is "$lead" after-outage ended
    job_is "$lead" through running
    [ "$(job_attempt "$lead" through)" = "$attempt" ]
    pb "$lead" "withdraw job through"
    until_true 15 job_is "$lead" through withdrawn
}

lost_answers_leave_one_job_not_two() {
    local lead status=0
    lead=$(leader)
    fault mode=silent
    pb "$lead" "submit job once for factoring shape 1x4 runtime 1s" || status=$?
    fault mode=up
    # Unknown (3) or done (0): either way it is there once, and its name cannot be taken twice.
    ((status == 0 || status == 3))
    until_true 20 pb "$(leader)" "show jobs"
    if job_is "$(leader)" once running || job_is "$(leader)" once queued; then
        if pb "$(leader)" "submit job once for factoring shape 1x4 runtime 1s"; then
            return 1
        fi
    fi
    no_double_run once
}

slow_service_is_waited_for() {
    fault 'mode=slow&ms=150'
    local lead
    until_true 20 leader
    lead=$(leader)
    until_true 20 pb "$lead" "submit job slow for factoring shape 2x4 runtime 1s"
    until_true 30 job_is "$lead" slow ended
    fault mode=up
    no_double_run slow
}

racing_operators_one_wins() {
    local lead
    lead=$(leader)
    run_as() {
        "$BIN/tools/pierbank" --gateway "$(operators_of "$lead")" --token "$1" "$2" \
            >"$WORK/race-$1" 2>&1
    }
    local first=0 second=0
    run_as "$ALICE" "guarantee factoring 1 of 1x8" &
    local a=$!
    run_as "$BOB" "guarantee factoring 2 of 1x8" &
    local b=$!
    wait "$a" || first=$?
    wait "$b" || second=$?
    # Both may be accepted one after the other; when one is refused it is told what it lost to.
    ((first == 0 || second == 0))
    if ((first == 1)); then grep -q 'lost to.*bob' "$WORK/race-$ALICE"; fi
    if ((second == 1)); then grep -q 'lost to.*alice' "$WORK/race-$BOB"; fi
    pb "$lead" "show audit where who = bob" | grep -q 'guarantee factoring 2'
    pb "$lead" "guarantee factoring 0 of 1x8"
}

configuration_survives_the_restart_of_every_gateway() {
    local lead
    lead=$(leader)
    pb "$lead" "weights fragmentation 77"
    kill_now gateway1
    kill_now gateway2
    start_gateway 1
    start_gateway 2
    until_true 30 ready
    pb "$(leader)" "show audit where subject = weights" | grep -q 'fragmentation 77'
}

up
for name in killed_leader_is_replaced_and_work_goes_on \
    frozen_leader_cannot_commit_when_it_wakes \
    killed_worker_sidecar_finds_its_tasks_again \
    frozen_worker_sidecar_loses_its_work_only_once \
    killed_endpoint_sidecar_leaves_never_requests_unknown \
    frozen_endpoint_sidecar_does_not_hold_up_repeatable_requests \
    planned_stop_of_an_endpoint_cuts_nothing \
    planned_stop_of_a_gateway_cuts_nothing \
    listed_leaving_endpoint_gets_no_new_work \
    service_down_refuses_changes_at_once_and_requests_go_on \
    lost_answers_leave_one_job_not_two \
    slow_service_is_waited_for \
    racing_operators_one_wins \
    configuration_survives_the_restart_of_every_gateway; do
    check "$name" "$name"
done
echo "$PASSED passed, $FAILED failed"
((FAILED == 0))
