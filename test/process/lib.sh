# Shell functions for scripts that run pierbank as real processes on loopback. To be sourced, with
# BIN set to the build folder. Uses ports from BASE_PORT on. At exit all started processes are
# killed by their ids and the logs are removed; after a failure the last log lines are printed.

BIN=${BIN:?the build folder}
WORK=$(mktemp -d)
BASE_PORT=${BASE_PORT:-7000}

readonly STORE=127.0.0.1:$((BASE_PORT + 1))
readonly ALICE=token-of-alice
readonly BOB=token-of-bob
readonly KEY=key-of-factoring

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

# start NAME COMMAND... : runs a process in the background with its output in NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    # The ids are kept in a file, because a variable set in a subshell would be lost at cleanup.
    echo "$!" >>"$WORK/pids"
    echo "$!" >"$WORK/$name.pid"
}

# pid_of NAME : prints the id of the process that was last started under the name.
pid_of() { cat "$WORK/$1.pid"; }

# until_true SECONDS COMMAND... : repeats the command until it succeeds; fails after the timeout.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= end)); then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

# Addresses of the endpoints of gateway, worker or sidecar number N.
front_of() { echo "127.0.0.1:$((BASE_PORT + 100 + $1))"; }
ready_of() { echo "127.0.0.1:$((BASE_PORT + 200 + $1))"; }
operators_of() { echo "127.0.0.1:$((BASE_PORT + 300 + $1))"; }
gateway_links_of() { echo "127.0.0.1:$((BASE_PORT + 400 + $1))"; }
worker_of() { echo "127.0.0.1:$((BASE_PORT + 500 + $1))"; }
beats_of() { echo "127.0.0.1:$((BASE_PORT + 600 + $1))"; }
links_of() { echo "127.0.0.1:$((BASE_PORT + 700 + $1))"; }
# worker_name N : prints the name of the worker as operators' statements use it.
worker_name() { echo "127.0.0.1-$((BASE_PORT + 700 + $1))"; }

# Starts the simulated store and four simulated workers in two racks and two failure domains.
start_standins() {
    start standin "$BIN/test/pierbank-standin" --store "$STORE" \
        --worker "w1,$(worker_of 1),$(beats_of 1),r1,hall-a" \
        --worker "w2,$(worker_of 2),$(beats_of 2),r1,hall-a" \
        --worker "w3,$(worker_of 3),$(beats_of 3),r2,hall-b" \
        --worker "w4,$(worker_of 4),$(beats_of 4),r2,hall-b"
    until_true 20 store_answers
}
store_answers() { curl -fsS -m 2 "http://$STORE/-/kv-range?path_prefix=x"; }
# fault NAME=VALUE : sets a fault of the simulated store.
fault() { curl -fsS -X POST "http://$STORE/fault?$1" >/dev/null; }

# configure VERSION [KEY] : writes the platform's configuration, with KEY as the API key of
# organisation factoring.
configure() {
    curl -fsS -X PUT "http://$STORE/operator?key=op/config" >/dev/null -d '{
        "version": '"$1"',
        "routes": [
            {"name": "urgent", "host": "jobs", "path_prefix": "/urgent/", "service": "tasks",
             "priority": 0, "attempts": 2, "stretch": 3, "slo_ms": 1000},
            {"name": "batch", "host": "jobs", "path_prefix": "/batch/", "service": "tasks",
             "priority": 1, "attempts": 2, "stretch": 3, "slo_ms": 1000}],
        "tenants": [
            {"name": "factoring", "api_keys": ["'"${2:-$KEY}"'"], "guaranteed": {"gpu": 16}},
            {"name": "forecast", "api_keys": ["key-of-forecast"], "guaranteed": {"gpu": 8}}]}'
}

# start_gateway N : writes the settings of the gateway and starts it.
start_gateway() {
    cat >"$WORK/gateway$1.ini" <<INI
[gateway]
name=gateway-$1
front=$(front_of "$1")
ready=$(ready_of "$1")
operators=$(operators_of "$1")
links=$(gateway_links_of "$1")
[store]
address=$STORE
[operators]
alice=$ALICE
bob=$BOB
INI
    start "gateway$1" "$BIN/tools/pierbank-gateway" --settings "$WORK/gateway$1.ini"
}

# start_sidecar N : writes the settings of the sidecar of worker N and starts it.
start_sidecar() {
    cat >"$WORK/sidecar$1.ini" <<INI
[sidecar]
name=side-$1
beats=$(beats_of "$1")
links=$(links_of "$1")
worker=$(worker_of "$1")
[store]
address=$STORE
INI
    start "sidecar$1" "$BIN/tools/pierbank-sidecar" --settings "$WORK/sidecar$1.ini"
}

# pb GATEWAY_NUMBER STATEMENT : runs a statement through the command-line tool as operator alice.
pb() { "$BIN/tools/pierbank" --gateway "$(operators_of "$1")" --token "$ALICE" "$2"; }

# health_has GATEWAY_NUMBER TEXT : true if the health report of the gateway contains the text.
health_has() { curl -fsS "http://$(operators_of "$1")/pierbank/v1/health" | grep -q "$2"; }

# job_is GATEWAY_NUMBER NAME STATE : true if the gateway shows the job in the state.
job_is() { pb "$1" "show jobs where name = $2 and state = $3" | grep -q "$2"; }

# worker_is GATEWAY_NUMBER WORKER_NUMBER STATE : true if the gateway shows the worker in the state.
worker_is() {
    pb "$1" "show workers where name = $(worker_name "$2") and state = $3" |
        grep -q "$(worker_name "$2")"
}

# call GATEWAY_NUMBER METHOD PATH [CURL OPTIONS...] : sends a request as a caller and prints the
# response.
call() {
    local gateway=$1 method=$2 path=$3
    shift 3
    curl -sS -m 5 -X "$method" -H 'Host: jobs' -H "X-Api-Key: $KEY" "$@" \
        "http://$(front_of "$gateway")$path"
}
# status_of GATEWAY_NUMBER METHOD PATH [CURL OPTIONS...] : the same, but prints the HTTP status
# only.
status_of() { call "$@" -o /dev/null -w '%{http_code}'; }
# job MILLISECONDS [ACCELERATORS] : prints the request body of a job with one task of that run time.
job() { echo "{\"spec\":\"$1\",\"steps\":[{\"count\":1,\"cpu\":1000,\"gpu\":${2:-1},\"est_ms\":$1}]}"; }
# state_is GATEWAY_NUMBER PATH STATE : true if the gateway reports the state for the job.
state_is() { call "$1" GET "$2" | grep -q "\"$3\""; }
