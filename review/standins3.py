"""Stand-ins of the third review: the platform's store, minions, clients and a small deployment.

Python 3.8 or later, standard library only. They follow the users' PROTOCOL.md; where it is silent
they behave like a sound store, minion or client. All addresses are loopback addresses; each
machine of the deployment has one of its own in 127.0.0.0/8.
"""
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (now(), text))
            self.file.flush()


# A small HTTP/1.1 server: a thread for each connection, so that a case can hold, reset or drop each
# answer.


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        try:
            return json.loads(self.body or b"{}")
        except ValueError:
            return {}


def reset(connection):
    """Closes a connection with a reset, as a process does that ends."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


class Server:
    """`handle(request)` returns (status, object), or None for no answer at all."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.lock = threading.Lock()
        self.connections = set()
        self.muted = set()
        self.listener = None
        self.up()

    def up(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        self.listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def down(self):
        """Ends like a killed process: the port is closed and all connections are reset."""
        listener, self.listener = self.listener, None
        if listener is not None:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        with self.lock:
            connections, self.connections = self.connections, set()
        for connection in connections:
            reset(connection)

    def mute(self):
        """All open connections go silent for good, without a reset; new ones work."""
        with self.lock:
            self.muted |= self.connections

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.listener is not listener:
                    reset(connection)
                    return
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = connection.recv(65536)
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                while len(data) < size:
                    more = connection.recv(65536)
                    if not more:
                        return
                    data += more
                body, data = data[:size], data[size:]
                if connection in self.muted:
                    time.sleep(60)
                    return
                answer = self.handle(Request(method, target, headers, body))
                if answer is None or connection in self.muted:
                    # Without an answer the connection stays open and says nothing further.
                    while connection.recv(65536):
                        pass
                    return
                status, content = answer
                text = json.dumps(content).encode()
                connection.sendall(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                                    "Content-Length: %d\r\n\r\n" % (status, len(text))).encode() + text)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass


class Store:
    """The platform's metadata store. `on_transaction(keys)` may be set by a case; it runs after a
    transaction was done and before it is answered. If it returns False, there is no answer."""

    ANSWER_S = 0.004

    def __init__(self, host, port, record):
        self.record = record
        self.items = {}
        self.rev = 1
        self.log = []
        self.leases = {}
        self.next_lease = 100
        self.change = threading.Condition()
        self.on_transaction = None
        self.down_at = None
        self.server = Server(host, port, self.handle)
        threading.Thread(target=self._lapse, daemon=True).start()

    def down(self):
        """The store goes down: its port is closed, its connections are reset, its leases wait."""
        self.down_at = time.monotonic()
        self.server.down()

    def up(self):
        with self.change:
            for lease in self.leases.values():
                lease["until"] += time.monotonic() - self.down_at
            self.down_at = None
        self.server.up()

    # Called with the condition held.
    def _write(self, key, value, lease):
        old = self.items.get(key)
        made = old["made"] if old else self.rev
        item = {"key": key, "value": value, "rev": self.rev, "made": made, "lease": lease}
        self.items[key] = item
        self.log.append(dict(item))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.log.append({"key": key, "rev": self.rev, "gone": True})

    def _lapse(self):
        while True:
            time.sleep(0.02)
            with self.change:
                if self.down_at is not None:
                    continue
                for lease in [i for i, l in self.leases.items() if l["until"] <= time.monotonic()]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._remove(key)
            self.change.notify_all()

    def put(self, key, value):
        """Writes as the operator does."""
        with self.change:
            self.rev += 1
            self._write(key, base64.b64encode(value.encode()).decode(), 0)
            self.change.notify_all()

    def get(self, key):
        with self.change:
            return self.items.get(key)

    def handle(self, request):
        if request.path == "/-/kv-watch":
            return self._watch(request)
        answer, keys = self._do(request)
        if keys and self.on_transaction is not None and self.on_transaction(keys) is False:
            return None
        time.sleep(self.ANSWER_S)
        return answer

    def _do(self, request):
        path = request.path
        with self.change:
            if path == "/-/kv-key":
                item = self.items.get(request.query.get("key", ""))
                return ((200, dict(item, at=self.rev)) if item else (404, {"at": self.rev})), None
            if path == "/-/kv-range":
                prefix, after = request.query.get("path_prefix", ""), request.query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items = [self.items[k] for k in keys[:500]]
                return (200, {"items": items, "more": len(keys) > 500, "at": self.rev}), None
            if path == "/-/kv-txn":
                return self._transact(request.json())
            if path == "/-/kv-lease":
                ttl = request.json().get("ttl_ms", 1000)
                self.next_lease += 1
                self.leases[self.next_lease] = {"ttl": ttl, "until": time.monotonic() + ttl / 1000}
                return (200, {"lease": self.next_lease, "ttl_ms": ttl}), None
            lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else -1
            if path.startswith("/-/kv-keep/"):
                if lease not in self.leases:
                    return (404, {}), None
                entry = self.leases[lease]
                entry["until"] = time.monotonic() + entry["ttl"] / 1000
                return (200, {"ttl_ms": entry["ttl"]}), None
            if path.startswith("/-/kv-lease-end/"):
                if lease in self.leases:
                    self._end_lease(lease)
                return (200, {}), None
        return (400, {}), None

    def _transact(self, body):
        expected = body.get("expect_rev", [])
        absent = {"value": "", "rev": 0, "made": 0, "lease": 0}
        if any(self.items.get(e["key"], absent)["rev"] != e["rev"] for e in expected):
            items = [self.items.get(e["key"], dict(absent, key=e["key"])) for e in expected]
            return (412, {"items": items}), None
        puts, removals = body.get("put", []), body.get("remove", [])
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return (404, {}), None
        if any(p["key"].startswith(("op/", "servers/")) for p in puts):
            return (403, {}), None
        if puts or removals:
            self.rev += 1
            for put in puts:
                self._write(put["key"], put["value"], put.get("lease", 0))
            for key in removals:
                self._remove(key)
            self.change.notify_all()
        return (200, {"rev": self.rev}), [p["key"] for p in puts]

    def _watch(self, request):
        prefix = request.query.get("path_prefix", "")
        after = int(request.query.get("after", "0"))
        until = time.monotonic() + min(int(request.query.get("wait_ms", "0")), 30000) / 1000
        with self.change:
            while True:
                events = [e for e in self.log[-5000:] if e["rev"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.rev}
                self.change.wait(left)


class Minion:
    """A minion with its tasks. A task lasts `spec` milliseconds if that is a number. Else it lasts
    until it is stopped, and is at work (100 percent) after a short start."""

    STOP_S = 0.2

    def __init__(self, name, app, control, record, service="tasks", rack="r1-1", zone="zone-a",
                 capacity=None, lock=None):
        self.name, self.app, self.control, self.record = name, app, control, record
        self.service, self.rack, self.zone = service, rack, zone
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
        self.change = threading.Condition(lock)
        self.incarnation = 0
        self.starts = []  # (time, id, task, run, spec)
        self.done = []  # (time, task, run) of the ends `done`
        self.stops = []  # (time, id, task, run, percent) of the stops of runs that were there
        self._new_life()
        self.server = Server(app[0], app[1], self.handle)
        self.alive = True
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._run, daemon=True).start()

    def _new_life(self):
        self.incarnation += 1
        self.id = "i-%s-%d" % (self.name, self.incarnation)
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.fence, self.until, self.seq, self.count = 0, 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def _end(self, task, how):
        run = self.running.pop(task)
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        if how == "done":
            self.done.append((now(), task, run["run"]))
        self.record("%s %s run %d ended %s" % (self.id, task, run["run"], how))
        self.change.notify_all()

    def _run(self):
        while True:
            time.sleep(0.01)
            with self.change:
                clock = self.clock()
                for task, run in list(self.running.items()):
                    if clock >= self.until:
                        self._end(task, "lapsed")
                    elif run["stop_at"] is not None and time.monotonic() >= run["stop_at"]:
                        self._end(task, "stopped")
                    elif time.monotonic() >= run["end_at"]:
                        self._end(task, "done")

    def _beat(self):
        while True:
            if self.alive:
                self.beat()
            time.sleep(1.5)

    def beat(self):
        with self.change:
            self.seq += 1
            body = {"service": self.service, "addr": "%s:%d" % self.app, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": self.capacity, "labels": ["a", self.rack], "clock_ms": self.clock(),
                    "born": self.born, "seq": self.seq}
            path = "/-/instances/" + self.id
        try:
            call(self.control, "PUT", path, body, timeout=1.0)
        except OSError:
            pass

    def handle(self, request):
        body = request.json()
        with self.change:
            if request.headers.get("x-pierbank-target-instance", self.id) != self.id:
                return 421, {}
            if body.get("fence", 0) < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = max(self.fence, body.get("fence", 0))
            if request.path == "/-/run-start":
                return self._start(body)
            if request.path == "/-/run-stop":
                return self._stop(body)
            if request.path == "/-/hold":
                return self._hold(body)
        return 400, {}

    def _extend(self, body):
        if "until_ms" in body:
            self.until = max(self.until, min(body["until_ms"], self.clock() + 6000))

    def _start(self, body):
        task, run = body["task"], body["run"]
        clock = self.clock()
        if body["until_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend(body)
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clock_ms": clock}
        if run <= self.highest.get(task, 0) or task in self.running:
            return 409, {"clock_ms": clock, "reason": "old"}
        spec = body.get("spec", "")
        length = int(spec) / 1000 if spec.isdigit() else 0.3
        self.running[task] = {"run": run, "end_at": time.monotonic() + length, "stop_at": None,
                              "began": time.monotonic(), "length": length}
        if not spec.isdigit():
            self.running[task]["end_at"] = float("inf")
        self.starts.append((now(), self.id, task, run, spec))
        self.record("%s starts %s run %d" % (self.id, task, run))
        return 200, {"clock_ms": clock}

    def _stop(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task]["run"] == run:
            if self.running[task]["stop_at"] is None:
                self.running[task]["stop_at"] = time.monotonic() + self.STOP_S
                self.stops.append((now(), self.id, task, run, self.percent(self.running[task])))
                self.record("%s is told to stop %s run %d, at %d percent" % self.stops[-1][1:])
        else:
            self.highest[task] = max(self.highest.get(task, 0), run)
        return 200, {"clock_ms": self.clock()}

    def _hold(self, body):
        self._extend(body)
        seen = body.get("last_seen", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        life = self.id, self.born
        while not self.ended and time.monotonic() < until:
            self.change.wait(until - time.monotonic())
            if life != (self.id, self.born):
                return None
        running = [[task, r["run"], "", self.percent(r), 0] for task, r in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}


    @staticmethod
    def percent(run):
        done = int(100 * (time.monotonic() - run["began"]) / run["length"])
        return min(done, 99 if run["end_at"] != float("inf") else 100)


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own; returns (status, object), or None without an answer."""
    text = b"" if body is None else json.dumps(body).encode()
    lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(text), "Connection: close"]
    lines += ["%s: %s" % item for item in dict({"Host": "%s:%d" % address}, **(headers or {})).items()]
    end = time.monotonic() + timeout
    try:
        with socket.create_connection(address, timeout=timeout) as connection:
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            data = b""
            while True:
                left = end - time.monotonic()
                if left <= 0:
                    return None
                connection.settimeout(left)
                more = connection.recv(65536)
                if not more:
                    break
                data += more
                match = re.search(rb"content-length: *(\d+)", data, re.I)
                head = data.find(b"\r\n\r\n")
                if head >= 0 and match and len(data) >= head + 4 + int(match.group(1)):
                    break
    except OSError:
        return None
    head, found, content = data.partition(b"\r\n\r\n")
    if not found:
        return None
    try:
        answer = json.loads(content) if content else {}
    except ValueError:
        answer = {}
    return int(head.split(b" ", 2)[1]), answer


# The deployment.


def lookup(fields, name):
    for part in name.split("."):
        if isinstance(fields, dict):
            fields = fields.get(part)
        elif isinstance(fields, list) and part.isdigit() and int(part) < len(fields):
            fields = fields[int(part)]
        else:
            return None
    return fields


def fill(template, fields):
    """Fills a settings template as DEPLOY.md tells, as far as this project's templates need it."""
    def section(match):
        value = lookup(fields, match.group(1))
        if value in (None, False, [], ""):
            return ""
        return match.group(2).replace("{{.}}", str(value))
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(lookup(fields, m.group(1)) or ""), text)


class Deployment:
    """Starts gateways and sidecars with the commands of the deploy file, and ends them."""

    BOUNDS = {"grace_s": 6, "max_hold_ms": 6000, "far_x": 3, "notice_ms": 4500}

    def __init__(self, record):
        # A case that is ended by its time limit ends its processes as well.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d." % (random.randint(16, 250), random.randint(1, 250))
        self.base = random.randint(21000, 29000)
        self.processes = {}
        self.store = None
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            self.roles = dict(re.findall(r"\[roles\.(\w+)\]\nrun = \"([^\"]+)\"", file.read()))

    def host(self, number):
        return self.net + str(number)

    def add_store(self, number=1):
        self.store_address = (self.host(number), self.base)
        self.store = Store(self.store_address[0], self.store_address[1], self.record)
        return self.store

    def _settings(self, role, number, extra=None, store=None):
        ip = self.host(number)
        store = store or self.store_address
        fields = {"node": "%s-%d" % (role, number), "ip": ip, "port_range": [self.base + 10, self.base + 25],
                  "listen": {"front": "%s:%d" % (ip, self.base + 1), "ready": "%s:%d" % (ip, self.base + 2),
                             "control": "%s:%d" % (ip, self.base + 3)},
                  "app": "%s:%d" % (ip, self.base + 4), "bounds": self.BOUNDS,
                  "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
                  "platform": {"addr": "%s:%d" % store, "ttl_min_ms": 1000}}
        fields.update(extra or {})
        with open(os.path.join(ROOT, "deploy/%s.ini" % role), encoding="utf-8") as file:
            text = fill(file.read(), fields)
        path = os.path.join(self.folder, "%s-%d.ini" % (role, number))
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self, role, number, extra=None, store=None):
        path = self._settings(role, number, extra, store)
        words = [path if w == "/etc/pierbank/boot.yaml" else w for w in self.roles[role].split()]
        log = open(os.path.join(self.folder, "%s-%d.log" % (role, number)), "ab")
        process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.processes[number] = process
        self.record("started %s %d, process %d" % (role, number, process.pid))
        return process

    def front(self, number):
        return self.host(number), self.base + 1

    def ready(self, number):
        return self.host(number), self.base + 2

    def control(self, number):
        return self.host(number), self.base + 3

    def app(self, number):
        return self.host(number), self.base + 4

    def links(self, number, role):
        return self.host(number), self.base + (11 if role == "gateway" else 10)

    def minion(self, number, **options):
        return Minion("m%d" % number, self.app(number), self.control(number), self.record, **options)

    def kill(self, number, kind=signal.SIGKILL):
        process = self.processes[number]
        process.send_signal(kind)
        self.record("signal %d to machine %d" % (kind, number))
        return process

    def log_lines(self, role, number):
        with open(os.path.join(self.folder, "%s-%d.log" % (role, number)), errors="replace") as file:
            return file.read().splitlines()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
                process.wait()
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


KEY = "key-of-tenant-one"


def configuration(version, keys=(KEY,), service="tasks"):
    routes = [{"name": "r-%s" % name, "host": "jobs.example", "path_prefix": "/%s/" % name,
               "type": "mutating", "timeout_ms": 3000, "slo_ms": slo, "priority": priority,
               "service": service, "attempts": 3, "stretch": 3.0, "no_auth": False}
              for name, priority, slo in (("urgent", 0, 1000), ("batch", 1, 3000))]
    return json.dumps({"version": version, "routes": routes,
                       "services": [{"name": service, "health_path": "/health", "max_conns": 64,
                                     "protocol": "h1", "tls": False, "enforces_capacity": True,
                                     "headroom": False}],
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                       "tenants": [{"name": "one", "api_keys": list(keys), "priority": 1,
                                    "guaranteed": {"gpu": 16}}]})


def job(spec_ms, count=1, gpu=1, **step):
    return {"spec": str(spec_ms), "steps": [dict({"count": count, "cpu": 1000, "mem_mb": 512, "gpu": gpu,
                                                  "est_ms": spec_ms}, **step)]}


def new_id():
    return "%016x" % random.getrandbits(64)


def request(record, address, method, path, body=None, timeout=3.0, key=KEY):
    """A call of a client, which waits as long as its deadline says."""
    headers = {"Host": "jobs.example", "X-Api-Key": key, "X-Pierbank-Deadline": str(int(timeout * 1000)),
               "Content-Type": "application/json"}
    began = now()
    answer = call(address, method, path, body, headers, timeout)
    record("%s %s at %s, sent at %.3f -> %s" % (method, path, address[0], began,
                                                "no answer" if answer is None else "%d %s" % answer))
    return answer


def wait_for(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


def all_ready(deployment, gateways):
    return all((call(deployment.ready(g), "GET", "/-/ready", timeout=1.0) or (0,))[0] == 200 for g in gateways)


def can_run(deployment, record, gateway, path="/batch/"):
    """Hands in a job of 0.1 s and waits until it is shown as succeeded."""
    ident = new_id()
    answer = request(record, deployment.front(gateway), "POST", path + ident, job(100))
    if not answer or answer[0] != 200:
        return False
    return wait_for(lambda: (request(record, deployment.front(gateway), "GET", path + ident) or (0, {}))[1]
                    .get("state") == "succeeded", 8)


def run(main):
    """Ends the case with 1 only if its check says so; what fails otherwise couldn't run."""
    try:
        status = main()
    except Exception:  # any failure of the case itself
        traceback.print_exc()
        status = 2
    sys.exit(status)
