#!/usr/bin/env bash
# Builds pierbank and runs it. The commands do all set-up on a fresh machine.
#   ./build.sh build        installs what is missing and builds
#   ./build.sh demo         the whole path on loopback, with real processes; stops by itself
#   ./build.sh test         everything that CI checks
#   ./build.sh clean        removes the build
set -euo pipefail
cd "$(dirname "$0")"

readonly PACKAGES=(
    g++ cmake ninja-build pkg-config curl
    libglib2.0-dev libsoup-3.0-dev libwebsocketpp-dev nlohmann-json3-dev
    libboost-dev libboost-log-dev libboost-thread-dev libboost-filesystem-dev
    libboost-program-options-dev libedit-dev tao-pegtl-dev
    libgtest-dev libgmock-dev librapidcheck-dev clang-format spin gcc python3
)
readonly OUT=out

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

build() {
    install_missing
    cmake -S . -B "$OUT/build" -G Ninja >"$OUT.cmake.log" 2>&1 || { cat "$OUT.cmake.log"; exit 1; }
    rm -f "$OUT.cmake.log"
    ninja -C "$OUT/build" --quiet
}

check_format() {
    git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format --dry-run --Werror
}

run_tests() {
    build
    check_format
    ctest --test-dir "$OUT/build" --output-on-failure --no-tests=error -j "$(nproc)"
}

case "${1:-}" in
    build) build ;;
    demo) build && test/process/demo.sh "$OUT/build" ;;
    test) run_tests ;;
    clean) rm -rf "$OUT" ;;
    *) sed -n '2,6p' "$0"; exit 2 ;;
esac
