#!/usr/bin/env bash
# Builds, tests and demonstrates pierbank. Missing packages are installed first.
#   ./build.sh build        installs missing packages and builds
#   ./build.sh demo         builds and runs a demonstration with real processes on loopback
#   ./build.sh test         builds and runs all checks of CI
#   ./build.sh clean        removes the build folder
set -euo pipefail
cd "$(dirname "$0")"

readonly PACKAGES=(
    g++ cmake ninja-build pkg-config curl
    libglib2.0-dev libsoup-3.0-dev libwebsocketpp-dev nlohmann-json3-dev
    libboost-dev libboost-log-dev libboost-thread-dev libboost-filesystem-dev
    libboost-program-options-dev libedit-dev tao-pegtl-dev
    libgtest-dev libgmock-dev librapidcheck-dev spin gcc python3 git
    clang clang-format clang-tidy libclang-rt-14-dev
)
readonly OUT=out

# Installs the packages that are not installed yet; needs root only if there are any.
install_missing() {
    local missing=()
    for package in "${PACKAGES[@]}"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
            missing+=("$package")
    done
    if ((${#missing[@]})); then
        echo "installing: ${missing[*]}"
        apt-get update -qq
        DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
            "${missing[@]}" >/dev/null
    fi
}

# Builds into $OUT/build.
build() {
    install_missing
    cmake -S . -B "$OUT/build" -G Ninja >"$OUT.cmake.log" 2>&1 || { cat "$OUT.cmake.log"; exit 1; }
    rm -f "$OUT.cmake.log"
    ninja -C "$OUT/build" --quiet
}

# Fails if clang-format would change a source file.
check_format() {
    git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format --dry-run --Werror
}

# Runs the checks of .clang-tidy on the project's own sources. WebSocketCodec is excluded.
check_tidy() {
    git ls-files -z 'libs/*/src/*.cpp' 'platform/src/*.cpp' 'tools/*.cpp' | grep -zv WebSocketCodec |
        xargs -0 -P "$(nproc)" -n 4 clang-tidy -p "$OUT/build" --quiet 2>/dev/null
}

# list_known_red SEPARATOR : prints the names of the tests in KNOWN-RED.txt, joined by the
# separator. Each line of the file names a test, its cause and its issue.
list_known_red() {
    if [ -f KNOWN-RED.txt ]; then cut -d, -f1 KNOWN-RED.txt | paste -sd "$1"; fi
}

# Runs the unit tests, except known failures, under the address and undefined-behaviour sanitizers.
check_sanitizers() {
    cmake -S . -B "$OUT/sanitize" -G Ninja -DPIERBANK_SANITIZE=ON -DCMAKE_BUILD_TYPE=None >/dev/null
    ninja -C "$OUT/sanitize" --quiet pierbank-tests
    local known
    known=$(list_known_red ':')
    RC_PARAMS="seed=20261202 max_success=50" \
        "$OUT/sanitize/test/pierbank-tests" --gtest_brief=1 ${known:+"--gtest_filter=-$known"} >"$OUT/sanitize.log" 2>&1 ||
        { tail -n 60 "$OUT/sanitize.log"; return 1; }
}

# Fuzzes the decoders with a fixed seed and a fixed number of runs.
check_fuzz() {
    cmake -S . -B "$OUT/fuzz" -G Ninja -DPIERBANK_FUZZ=ON -DCMAKE_BUILD_TYPE=None \
        -DCMAKE_CXX_COMPILER=clang++ >/dev/null
    ninja -C "$OUT/fuzz" --quiet decoders-fuzz
    rm -rf "$OUT/fuzz/found" && mkdir -p "$OUT/fuzz/found"
    "$OUT/fuzz/decoders-fuzz" -seed=1 -runs=100000 -max_len=512 -verbosity=0 \
        "$OUT/fuzz/found" fuzz/corpus >"$OUT/fuzz.log" 2>&1 || { tail -n 40 "$OUT/fuzz.log"; return 1; }
}

# step CHECK : runs a check between a heading and a line with the time since the start of the
# script.
step() {
    echo "== $1"
    "$1"
    echo "ok: $1 (${SECONDS} s so far)"
}

# Runs the unit tests. The tests in KNOWN-RED.txt are printed and skipped.
check_units() {
    local pass_over=() known
    known=$(list_known_red '|')
    if [ -n "$known" ]; then
        cat KNOWN-RED.txt
        pass_over=(-E "^($known)$")
    fi
    ctest --test-dir "$OUT/build" --output-on-failure --no-tests=error -j "$(nproc)" \
        "${pass_over[@]}" | grep -v -E '^ *Start |Passed'
}
check_pages() { test/check_pages.sh "$OUT/build"; }
check_model() { model/check.sh; }
check_processes() { test/process/failures.sh "$OUT/build"; }
# Runs four short soaks with fixed seeds. Seeds 3 and 8 guard against faults that they once exposed
# (docs/SOAK.md). The third soak evacuates failure domains; in the fourth, restarted workers keep
# their ids.
check_soak() {
    local options
    for options in "--seed 3" "--seed 8" "--seed 5 --evacuate" "--seed 117 --keep-ids"; do
        # shellcheck disable=SC2086
        "$OUT/build/test/pierbank-soak" $options --for 8s --quiet --tools "$OUT/build/tools" \
            --logs "$OUT/soak/${options// /}" >"$OUT/soak.log" 2>&1 || { cat "$OUT/soak.log"; return 1; }
    done
}
check_demo() { test/process/demo.sh "$OUT/build" >"$OUT/demo.log" 2>&1 || { cat "$OUT/demo.log"; return 1; }; }

run_tests() {
    step build
    step check_format
    step check_tidy
    step check_units
    step check_pages
    step check_demo
    step check_processes
    step check_soak
    step check_model
    step check_sanitizers
    step check_fuzz
    echo "all steps passed"
}

case "${1:-}" in
    build) build ;;
    demo) build && test/process/demo.sh "$OUT/build" ;;
    test) run_tests ;;
    clean) rm -rf "$OUT" ;;
    *) sed -n '2,6p' "$0"; exit 2 ;;
esac
