#!/usr/bin/env bash
# Checks that the soak detects broken promises: disables one mechanism at a time in a patched copy
# of the sources and runs the soak with several seeds until it reports a violation (docs/SOAK.md).
#   test/soak/mutants.sh [NAME...]      default: all
set -euo pipefail
cd "$(dirname "$0")/../.."

readonly COPY=out/mutants
readonly MOST_SEEDS=20
readonly AT_ONCE=5
readonly LENGTH=15s
readonly PORTS_A_SOAK=1200
readonly FIRST_PORT=20000

# Copies the unpatched sources. The file that the previous mutant changed has to be built again.
copy_sources() {
    mkdir -p "$COPY/src"
    git ls-files -z -- libs platform test tools config bench fuzz CMakeLists.txt |
        xargs -0 cp --parents --preserve=timestamps -t "$COPY/src"
    if [ -f "$COPY/mutated" ]; then
        touch "$COPY/src/$(cat "$COPY/mutated")"
    fi
}

# replace FILE FROM TO : replaces FROM by TO. FROM must occur in the file exactly once.
replace() {
    echo "$1" >"$COPY/mutated"
    python3 - "$COPY/src/$1" "$2" "$3" <<'PYTHON'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
assert text.count(old) == 1, f"{path}: {old!r} stands there {text.count(old)} times"
open(path, "w").write(text.replace(old, new))
PYTHON
}

# mutate NAME : disables the mechanism. The comment of each case names the promise that breaks, or
# says "none" and names the rule that breaks if only the placement of work rests on it.
mutate() {
    soak_options=()
    case $1 in
    lost-without-waiting) # nothing runs twice
        replace libs/control/src/WorkerPool.cpp 'now > host.m_leaseEnd) {' \
            'now > host.m_lastReceivedAt + Millis(1500)) {' ;;
    taken-before-kept) # nothing accepted is lost
        replace libs/control/src/JobIntake.cpp 'case StoreStatus::UNKNOWN:
            relayOr(call, HTTP_TIMEOUT, "the store did not say whether it was taken");' \
            'case StoreStatus::UNKNOWN:
            answer(call, HTTP_OK, "", "hopefully taken");' ;;
    unknown-is-refused) # no refused job runs
        replace libs/control/src/JobIntake.cpp 'case StoreStatus::UNKNOWN:
            relayOr(call, HTTP_TIMEOUT, "the store did not say whether it was taken");' \
            'case StoreStatus::UNKNOWN:
            answer(call, HTTP_UNAVAILABLE, "", "hopefully not taken");' ;;
    gang-goes-on) # gangs run whole
        replace libs/job/src/JobTransitions.cpp 'if (spec.m_isGang) {
        effect.m_toStop =' 'if (spec.m_isGang && number == 0) {
        effect.m_toStop =' ;;
    keys-never-fade) # no revoked key is served
        replace libs/control/src/JobIntake.cpp \
            'age.has_value() && *age <= m_settings.m_maxConfigurationAge' 'age.has_value()' ;;
    evacuations-not-read) # nothing begins where it is evacuated
        soak_options=(--evacuate)
        replace libs/control/src/JobControllerEvacuations.cpp \
            'return m_evacuations.getDomains().count(domain) != 0 || isEvacuatedByStatement(domain);' \
            'return isEvacuatedByStatement(domain);' ;;
    stop-is-not-sent) # cancelled work is gone
        replace libs/control/src/JobControllerOrders.cpp 'entry.m_pendingMessages.push_back(
                {run.m_worker.m_host,
                 RunStop{' \
            'entry.m_pendingMessages.push_back(
                {std::string(),
                 RunStop{' ;;
    early-cancel-not-kept) # work cancelled in advance never starts
        replace libs/control/src/JobIntakeReads.cpp '    if (!wait.has_value()) {
        putEarlyCancel(call);' '    if (!wait.has_value()) {
        answer(call, HTTP_GONE, "", "there is no such job");' ;;
    early-cancel-at-the-leader-only) # work cancelled in advance never starts
        replace libs/control/src/JobIntake.cpp '{getRunKey(call.m_id), 0},
                                {getEarlyCancelKey(call.m_id), call.m_earlyCancel.m_revision}};' \
            '{getRunKey(call.m_id), 0}};' ;;
    done-too-early) # whole answers to the right caller
        replace libs/control/src/JobIntakeReads.cpp 'm_codec.writePhase(run->m_phase)' \
            'm_codec.writePhase(run->m_hasStarted ? JobPhase::SUCCEEDED : run->m_phase)' ;;
    record-of-another-incarnation) # none: a speed is that of the machine that was measured
        replace libs/control/src/RecordKeeper.cpp 'kept.m_record.m_incarnation.clear();
        kept.m_record.m_logSpeed = 0;
        kept.m_record.m_speedSamples = 0;' \
            'kept.m_record.m_incarnation = std::string(present);' ;;
    record-of-a-later-epoch) # none: a superseded leader restores nothing
        replace libs/control/src/LearnedState.cpp \
            'if (returned.m_version.first > epoch) {' 'if (returned.m_version.first == 0) {' ;;
    bad-hosts-clear-each-other) # none: evidence is cleared only if a step fails on most hosts
        replace libs/control/src/HostTrials.cpp \
            'share->m_failed >= m_settings.m_faultyStepShare' 'share->m_failed > 0' ;;
    *) echo "no mutant $1"; exit 2 ;;
    esac
}

build_copy() {
    cmake -S "$COPY/src" -B "$COPY/build" -G Ninja >/dev/null
    ninja -C "$COPY/build" --quiet pierbank-gateway pierbank-sidecar pierbank-soak
}

# soak SEED SLOT : runs the soak with one seed and writes its report to a file.
soak() {
    "$COPY/build/test/pierbank-soak" --seed "$1" --for "$LENGTH" --quiet "${soak_options[@]}" \
        --tools "$COPY/build/tools" --logs "$COPY/logs/$1" \
        --base-port $((FIRST_PORT + $2 * PORTS_A_SOAK)) >"$COPY/report-$1" 2>&1 || true
}

# hunt NAME : runs the seeds, several at once, until a promise breaks.
hunt() {
    local seed batch slot
    rm -f "$COPY"/report-*
    for ((batch = 1; batch <= MOST_SEEDS; batch += AT_ONCE)); do
        for ((slot = 0; slot < AT_ONCE; ++slot)); do
            soak $((batch + slot)) "$slot" &
        done
        wait
        for ((seed = batch; seed < batch + AT_ONCE; ++seed)); do
            if grep -q '^BROKEN' "$COPY/report-$seed"; then
                echo "$1: found by seed $seed: $(grep -m1 '^BROKEN' "$COPY/report-$seed")"
                return 0
            fi
        done
    done
    echo "$1: NOT found within $MOST_SEEDS seeds"
    return 1
}

names=("$@")
if ((${#names[@]} == 0)); then
    names=(lost-without-waiting taken-before-kept unknown-is-refused gang-goes-on
        keys-never-fade stop-is-not-sent done-too-early evacuations-not-read
        early-cancel-not-kept early-cancel-at-the-leader-only
        record-of-another-incarnation record-of-a-later-epoch bad-hosts-clear-each-other)
fi
missed=0
for name in "${names[@]}"; do
    copy_sources
    mutate "$name"
    build_copy
    hunt "$name" || missed=$((missed + 1))
done
echo "${#names[@]} mutants, $missed not found"
exit "$missed"
