#!/usr/bin/env bash
# Takes one rule of the planner away at a time and shows that a test fails without it. Not part of
# CI: each mutant is a build. Works on a copy; prints one line a mutant.
#     test/mutate.sh FOLDER_FOR_THE_COPY
set -euo pipefail
copy=${1:?a folder for the copy}
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$copy"
git clone -q "$root" "$copy"
cmake -S "$copy" -B "$copy/out/build" -G Ninja >/dev/null
ninja -C "$copy/out/build" --quiet pierbank-tests
survived=0

# mutate NAME FILE SED_EXPRESSION
mutate() {
    local file="$copy/libs/policy/src/$2"
    sed -i "$3" "$file"
    if git -C "$copy" diff --quiet; then
        echo "BROKEN: $1: the expression changes nothing"
        survived=$((survived + 1))
        return 0
    fi
    ninja -C "$copy/out/build" --quiet pierbank-tests
    if RC_PARAMS="seed=20261202 max_success=400" "$copy/out/build/test/pierbank-tests" \
        --gtest_brief=1 --gtest_filter='Planner*:Schedule*' >"$copy/mutant.log" 2>&1; then
        echo "SURVIVED: $1"
        survived=$((survived + 1))
    else
        echo "found: $1 by $(grep -o 'FAILED  \] [A-Za-z.]*' "$copy/mutant.log" | head -n 1 | cut -c11-)"
    fi
    git -C "$copy" checkout -q -- .
}

mutate "units are not repacked" PlanPass.cpp 's/^    repackUnits();$//'
mutate "guaranteed work may be preempted" PlanPassClaims.cpp \
    's/return isBorrowed(other) && !other.m_isUrgent;/return !other.m_isUrgent;/'
mutate "claims do not keep accelerators" Occupancy.cpp \
    's/claims\[worker\] += count;/claims[worker] += 0 * count;/'
mutate "hopeless claims stay" PlanPass.cpp 's/^    revertHopelessClaims();$//'
mutate "no eviction from a unit" PlanPassGuarantees.cpp 's/if (!isInTheWay) {/if (true) {/'
mutate "any shape is adopted into a unit" PlanPassGuarantees.cpp \
    's/!(unit.m_shape == job.m_shape)/false/'
mutate "no search for rare packings" UnitPacker.cpp 's/if (packBySearch(busyUnits)) {/if (false) {/'
mutate "a reclaim preempts nobody" PlanPassClaims.cpp \
    's/while (getShortage(worker, count) > 0) {/while (getShortage(worker, count) > 1000) {/'
mutate "failing workers stay in service" JobEvents.cpp \
    's/worker.m_state = WorkerState::QUARANTINED;//'
mutate "a job that always fails is never given up" JobEvents.cpp 's/if (isJobAtFault) {/if (false) {/'
echo "$survived survived"
((survived == 0))
