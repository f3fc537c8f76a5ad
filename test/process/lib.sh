# Helpers for scripts that run pierbank's real processes on loopback. Source it.
# Every process started here is ended by its id at exit.

BIN=${BIN:?the build folder}
WORK=$(mktemp -d)
BASE_PORT=${BASE_PORT:-7000}

readonly KEY_VALUE=127.0.0.1:$((BASE_PORT + 1))
readonly HOST_LIST=127.0.0.1:$((BASE_PORT + 2))
readonly ALICE=token-of-alice
readonly BOB=token-of-bob

cleanup() {
    local status=$?
    for pid in $(cat "$WORK/pids" 2>/dev/null); do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if ((status != 0)); then
        echo "--- FAILED (status $status); last log lines:"
        tail -n 15 "$WORK"/*.log || true
    fi
    rm -rf "$WORK"
    exit "$status"
}
trap cleanup EXIT

# start NAME COMMAND... : runs a process in the background, its output in NAME.log; sets STARTED.
start() {
    local name=$1
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    STARTED=$!
    # In a file: processes that a subshell starts are ended too.
    echo "$STARTED" >>"$WORK/pids"
    echo "$STARTED" >"$WORK/$name.pid"
}

pid_of() { cat "$WORK/$1.pid"; }

# until_true SECONDS COMMAND... : waits for a condition; fails when it does not come true.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= end)); then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

operators_of() { echo "127.0.0.1:$((BASE_PORT + 100 + $1))"; }
callers_of() { echo "127.0.0.1:$((BASE_PORT + 200 + $1))"; }
worker_of() { echo "127.0.0.1:$((BASE_PORT + 300 + $1))"; }
endpoint_of() { echo "127.0.0.1:$((BASE_PORT + 400 + $1))"; }
worker_sidecar_of() { echo "127.0.0.1:$((BASE_PORT + 500 + $1))"; }
endpoint_sidecar_of() { echo "127.0.0.1:$((BASE_PORT + 600 + $1))"; }

# write_gateway_settings N FAILURE_DOMAIN
write_gateway_settings() {
    cat >"$WORK/gateway$1.ini" <<INI
[gateway]
name=gateway-$1
callers=$(callers_of "$1")
operators=$(operators_of "$1")
region=north
failure-domain=$2

[platform]
key-value-service=$KEY_VALUE
host-list=$HOST_LIST
host-list-interval=200ms
timeout=${PLATFORM_TIMEOUT:-500ms}

[operators]
alice=$ALICE
bob=$BOB

[schedule]
leader-lease=${LEADER_LEASE:-1s}
worker-lease=${WORKER_LEASE:-3s}
lease-slack=500ms
outage-grace=${OUTAGE_GRACE:-20s}
checkpoint-grace=500ms
INI
}

start_gateway() { start "gateway$1" "$BIN/tools/pierbank-gateway" --settings "$WORK/gateway$1.ini"; }

start_worker_sidecar() {
    cat >"$WORK/worker$1.ini" <<INI
[sidecar]
name=w$1
listen=$(worker_sidecar_of "$1")
ask-interval=300ms
[worker]
address=$(worker_of "$1")
INI
    start "worker-sidecar$1" "$BIN/tools/pierbank-sidecar" --settings "$WORK/worker$1.ini"
}

start_endpoint_sidecar() {
    cat >"$WORK/endpoint$1.ini" <<INI
[sidecar]
name=e$1
listen=$(endpoint_sidecar_of "$1")
ask-interval=300ms
[endpoint]
address=$(endpoint_of "$1")
slots=8
connections=64
INI
    start "endpoint-sidecar$1" "$BIN/tools/pierbank-sidecar" --settings "$WORK/endpoint$1.ini"
}

# host_line NAME ROLE ADDRESS DOMAIN RACK [STATE]
host_line() {
    local extra='"accelerators": 8'
    [ "$2" = endpoint ] && extra='"service": "assess"'
    printf '{"name": "%s", "role": "%s", "address": "%s", "region": "north",' "$1" "$2" "$3"
    printf ' "failure_domain": "%s", "rack": "%s", "state": "%s", %s}' \
        "$4" "$5" "${6:-live}" "$extra"
}

# put_hosts LINE... : replaces the host list.
put_hosts() {
    local IFS=,
    curl -fsS -X PUT "http://$HOST_LIST/hosts" -d "[$*]" >/dev/null
}

# pb GATEWAY_NUMBER STATEMENT : the command line as operator alice.
pb() { "$BIN/tools/pierbank" --gateway "$(operators_of "$1")" --token "$ALICE" "$2"; }

# health_has GATEWAY_NUMBER TEXT
health_has() {
    curl -fsS "http://$(operators_of "$1")/pierbank/v1/health" | grep -q "$2"
}

# job_is GATEWAY_NUMBER JOB STATE
job_is() { pb "$1" "show jobs where name = $2 and state = $3" | grep -q "$2"; }

# worker_is GATEWAY_NUMBER WORKER STATE
worker_is() { pb "$1" "show workers where name = $2 and state = $3" | grep -q "$2"; }

# call GATEWAY_NUMBER PATH [CURL OPTIONS...] : a caller's request of organisation factoring.
call() {
    local gateway=$1 path=$2
    shift 2
    curl -sS -H 'Pierbank-Organisation: factoring' "$@" "http://$(callers_of "$gateway")$path"
}
