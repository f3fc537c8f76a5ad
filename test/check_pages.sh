#!/usr/bin/env bash
# Every test that docs/FAILURES.md names is there, and every page that the README names.
set -euo pipefail
build=${1:?the build folder}
cd "$(dirname "$0")/.."
names=$("$build/test/pierbank-tests" --gtest_list_tests |
    awk '/^[^ ]/ { suite = $1 } /^ / { print suite $1 }')
missing=0

require() { # require CONDITION_STATUS WHAT
    if (($1 != 0)); then
        echo "not there: $2"
        missing=$((missing + 1))
    fi
}

for name in $(grep -oE '`[A-Za-z]+Test(\.[A-Za-z]+)?`' docs/FAILURES.md | tr -d '`' | sort -u); do
    status=0
    grep -qF "$name" <<<"$names" || status=1
    require "$status" "test $name"
done
for name in $(grep -oE '`[a-z]+_[a-z_]+`' docs/FAILURES.md | tr -d '`' | sort -u); do
    status=0
    grep -q "^$name()" test/process/failures.sh || status=1
    require "$status" "process case $name"
done
for page in $(grep -oE '\]\([A-Za-z/.-]+\)' README.md docs/*.md | sed 's/.*](\(.*\))/\1/' | sort -u); do
    status=0
    [ -e "$page" ] || [ -e "docs/$page" ] || status=1
    require "$status" "page $page"
done
((missing == 0))
