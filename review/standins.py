"""Stand-ins for the platform, the minions and the clients, after the pages in
../given/kit/more/system/ (PROTOCOL.md, DEPLOY.md). Python 3.8 or later, standard library only.

Everything listens on 127.0.0.1 on free ports. The store, the minions and the machines' interface
run in the process of the case; the project's gateways and sidecars are separate processes, started
with the commands and the templates of the deploy folder.
"""
import asyncio
import base64
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

NO_ANSWER = object()  # the call is left open without an answer
RESET = object()  # the connection is reset instead of an answer


given_ports = set()


def free_port():
    """Returns a free port below the range from which the system takes ports for connections.

    Each process has a block of its own, so that scripts that run side by side don't meet.
    """
    block = 18000 + os.getpid() % 100 * 140
    while True:
        port = random.randrange(block, block + 140)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            return port


class Record:
    """record.txt: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return (time.monotonic() - self.start) * 1000

    def __call__(self, text):
        at = self.now()
        self.file.write("%9.1f ms  %s\n" % (at, text))
        self.file.flush()
        return at


# HTTP/1.1


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Returns the first line, the headers in lower case and the body; None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return line.decode("latin-1").split(), headers, body


class Server:
    """Serves `handle(method, path, query, headers, body)`, which returns a status and an object."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.address = ""
        self.silenced = 0.0  # connections that were opened before this time say nothing any more

    async def listen(self, port=0):
        server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=8 << 20)
        self.port = server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        return self

    def silence(self):
        """Lets all open connections go silent for good, without a reset; new ones work."""
        self.silenced = time.monotonic()

    async def serve(self, reader, writer):
        opened = time.monotonic()
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if opened < self.silenced:
                    await reader.read()
                    break
                (method, target, _), headers, body = message
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await self.handle(method, path, query, headers, body)
                if answer is NO_ANSWER or opened < self.silenced:
                    await reader.read()
                    break
                if answer is RESET:
                    reset(writer)
                    return
                status, value = answer
                data = json.dumps(value).encode() if value is not None else b""
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(data))).encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except RuntimeError:
                pass


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one call on its own connection. Returns status and object; 0 and None: no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
        data = json.dumps(body).encode() if body is not None else b""
        head = ["%s %s HTTP/1.1" % (method, path)]
        fields = {"Host": address, "Content-Type": "application/json", "Connection": "close"}
        fields.update(headers or {})
        fields["Content-Length"] = str(len(data))
        head += ["%s: %s" % field for field in fields.items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + data)
        message = await asyncio.wait_for(read_message(reader), timeout)
        if message is None:
            return 0, None
        words, _, answer = message
        try:
            return int(words[1]), json.loads(answer) if answer else None
        except ValueError:
            return int(words[1]), None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


# The platform's metadata store


class Store:
    ANSWER_S = 0.004

    def __init__(self):
        self.rev = 1000
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.turned_away = set()  # names of the nodes that get no answer
        self.answer_later_s = 0  # what a slow store takes longer to answer
        self.on_transaction = lambda data: None  # called after a transaction that wrote
        self.server = Server(self.handle)

    async def listen(self):
        await self.server.listen()
        self.address = self.server.address
        asyncio.ensure_future(self.lapse_leases())
        return self

    async def door(self, name):
        """Returns an own address of the store for a node, so that it can be turned away alone."""
        async def handle(*arguments):
            if name not in self.turned_away:
                answer = await self.handle(*arguments)
                if name not in self.turned_away:
                    return answer
            return NO_ANSWER

        return (await Server(handle).listen()).address

    async def lapse_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [l for l, (_, until) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.apply([], [key])

    def view(self, key):
        item = self.items.get(key)
        return dict(item, key=key) if item else {"key": key, "value": "", "rev": 0}

    def apply(self, puts, removes):
        self.rev += 1
        for row in puts:
            made = self.items.get(row["key"], {}).get("made", self.rev)
            item = {"value": row.get("value", ""), "rev": self.rev, "made": made,
                    "lease": row.get("lease", 0)}
            self.items[row["key"]] = item
            self.events.append((self.rev, dict(item, key=row["key"])))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.rev, {"key": key, "rev": self.rev, "gone": True}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes a key as the operator does; the return is the acknowledgement."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([{"key": key, "value": text}], [])

    def read(self, key):
        """Returns the bytes of a key for the case; None if there is none."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def handle(self, *call):
        answer = await self.answer(*call)
        await asyncio.sleep(self.answer_later_s)
        return answer

    async def answer(self, method, path, query, headers, body):
        data = json.loads(body) if body else {}
        await asyncio.sleep(self.ANSWER_S)
        if path == "/-/kv-key":
            key = query["key"]
            return (200 if key in self.items else 404), dict(self.view(key), at=self.rev)
        if path == "/-/kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.view(k) for k in keys[:500]], "more": len(keys) > 500,
                         "at": self.rev}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            answer = self.transact(data)
            if answer[0] == 200 and data.get("put"):
                self.on_transaction(data)
            return answer
        if path == "/-/kv-lease":
            lease, ttl = self.next_lease, max(1000, int(data["ttl_ms"]))
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    async def watch(self, query):
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for rev, e in self.events if rev > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, data):
        puts, removes = data.get("put") or [], data.get("remove") or []
        rows = data.get("expect_rev") or []
        for key in [row["key"] for row in puts] + list(removes):
            if key.startswith(("op/", "servers/")):
                return 403, {}
        if any(self.view(row["key"])["rev"] != row["rev"] for row in rows):
            return 412, {"items": [self.view(row["key"]) for row in rows]}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return 404, {}
        if puts or removes:
            self.apply(puts, removes)
        return 200, {"rev": self.rev}


# Minions


class Minion:
    """A minion on a `side` machine; the spec of a job holds the milliseconds that its tasks take."""

    MAX_HOLD_MS = 6000

    def __init__(self, record, name, rack, control):
        self.record, self.name, self.rack, self.control = record, name, rack, control
        self.id = "i-" + os.urandom(4).hex()
        self.born = time.monotonic()
        self.seq, self.fence, self.until, self.next_end = 0, 0, 0, 1
        self.running, self.ended, self.highest = {}, [], {}
        self.capacity = {"cpu": 128000, "mem_mb": 262144, "gpu": 8}
        self.ended_event = asyncio.Event()
        self.starts, self.failed = [], []
        self.server = Server(self.handle)

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 10000

    async def start(self):
        await self.server.listen()
        self.address = self.server.address
        return self

    def live(self):
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.work())

    async def beat(self):
        while True:
            self.seq += 1
            body = {"service": "factura-core", "addr": self.address, "zone": "hala-somes",
                    "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": self.capacity, "labels": ["a", self.rack],
                    "clock_ms": self.clock(), "seq": self.seq}
            await call(self.control, "PUT", "/-/instances/" + self.id, body, timeout=1.0)
            await asyncio.sleep(1.5)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            now = self.clock()
            for key, run in list(self.running.items()):
                if now >= self.until:
                    self.end(key, "lapsed")
                elif now >= run["ends"]:
                    self.end(key, "done")

    def end(self, key, how):
        run = self.running.pop(key)
        self.ended.append([self.next_end, key, run["run"], how, ""])
        self.next_end += 1
        if how == "failed":
            self.failed.append(key)
        self.highest[key] = max(self.highest.get(key, 0), run["run"])
        self.record("minion %s: task %s run %d ends %s" % (self.name, key, run["run"], how))
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def answer(self, status, **more):
        return status, dict(more, clock_ms=self.clock())

    async def handle(self, method, path, query, headers, body):
        data = json.loads(body) if body else {}
        if headers.get("x-pierbank-target-instance", self.id) != self.id:
            return self.answer(421)
        if data.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = data.get("fence", 0)
        if "until_ms" in data:
            latest = self.clock() + self.MAX_HOLD_MS
            self.until = max(self.until, min(int(data["until_ms"]), latest))
        if path == "/-/hold":
            return await self.hold(data)
        key, run = data["task"], data["run"]
        if path == "/-/run-stop":
            self.highest[key] = max(self.highest.get(key, 0), run)
            if key in self.running and self.running[key]["run"] <= run:
                self.end(key, "stopped")
            return self.answer(200)
        if path == "/-/run-start":
            return self.begin(key, run, data)
        if path == "/-/pace":
            return self.answer(200)
        return self.answer(400)

    def begin(self, key, run, data):
        if key in self.running and self.running[key]["run"] == run:
            return self.answer(200)
        if run <= self.highest.get(key, 0):
            return self.answer(409, reason="old")
        if self.until <= self.clock():
            return self.answer(409, reason="late")
        if len(self.running) >= 8:
            return self.answer(409, reason="room")
        begins, time_ms = self.clock(), max(1, int(data["spec"]))
        self.running[key] = {"run": run, "begins": begins, "ends": begins + time_ms}
        at = self.record("minion %s: task %s run %d starts" % (self.name, key, run))
        self.starts.append((at, key, run))
        return self.answer(200)

    async def hold(self, data):
        self.ended = [row for row in self.ended if row[0] > data.get("last_seen", 0)]
        if not self.ended and data.get("wait_ms"):
            try:
                await asyncio.wait_for(self.ended_event.wait(), data["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = self.clock()
        running = [[key, run["run"], "",
                    min(99, 100 * (now - run["begins"]) // (run["ends"] - run["begins"])), 0]
                   for key, run in self.running.items()]
        return self.answer(200, running=running, ended=self.ended[:500])


# The machines' interface


class Cloud:
    """Machines that are not on a `side` machine and bear no minion; upkeep takes `UPKEEP_S`."""

    UPKEEP_S = 2.0
    ANSWER_S = 0.004

    def __init__(self, record, names):
        self.record = record
        self.machines = {n: {"until": 0.0, "done": set(), "token": 0} for n in names}
        self.begun = []  # (time, machine, others that are down for their upkeep)
        self.fail = lambda machine: False
        self.server = Server(self.handle)

    async def listen(self):
        await self.server.listen()
        self.address = self.server.address
        return self

    def is_down(self, name):
        return self.machines[name]["until"] > time.monotonic()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.ANSWER_S)
        if path == "/-/machines":
            rows = [{"machine": n, "pool": "spare-pool", "zone": "hala-somes", "labels": ["a"],
                     "state": "upkeep" if self.is_down(n) else "up",
                     "capacity": {"cpu": 128000, "mem_mb": 262144, "gpu": 8}, "id": ""}
                    for n in self.machines]
            return 200, {"machines": rows}
        if path != "/-/machine-upkeep":
            return 400, {}
        data = json.loads(body)
        name, wave = data["machine"], data["wave"]
        holder = headers.get("x-pierbank-lease-holder", "")
        token = int(headers.get("x-pierbank-fence-token", "0"))
        if name not in self.machines:
            return 400, {}
        machine = self.machines[name]
        if token < machine["token"]:
            return 409, {"reason": "fence"}
        machine["token"] = token
        text = "machine %s: upkeep asked by %s, token %d: " % (name, holder, token)
        if wave in machine["done"]:
            self.record(text + "200, had begun before")
            return 200, {}
        if self.is_down(name):
            self.record(text + "409 busy")
            return 409, {"reason": "busy"}
        down = [n for n in self.machines if n != name and self.is_down(n)]
        machine["done"].add(wave)
        machine["until"] = time.monotonic() + self.UPKEEP_S
        at = self.record(text + "begins; down for their own: " + (", ".join(down) or "none"))
        self.begun.append((at, name, down))
        if self.fail(name):
            self.record("machine %s: the connection is reset, no answer" % name)
            return RESET
        return 200, {}


# The project's processes


def fill(text, fields):
    """Fills a template as DEPLOY.md says, as far as the templates of the deploy folder need it."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        value = find(match.group(1))
        return match.group(2).replace("{{.}}", str(value)) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m.group(1)) or ""), text)


class Deployment:
    """Gateways and sidecars with the settings of a small deployment (ramfc-pierbank)."""

    BOUNDS = {"grace_s": 6, "max_hold_ms": 6000, "far_x": 3, "notice_ms": 4500}

    def __init__(self, store, cloud=None):
        self.store, self.cloud = store, cloud
        self.folder = tempfile.mkdtemp(prefix="pierbank-review-")
        self.processes = {}
        self.fields = {}
        toml = open(os.path.join(ROOT, "deploy", "system.toml")).read()
        self.roles = {}
        for role in ("gateway", "sidecar"):
            part = toml.split("[roles.%s]" % role)[1].split("[roles.")[0]
            self.roles[role] = {key: re.search(r'%s = "([^"]*)"' % key, part).group(1)
                                for key in ("run", "template")}

    def add(self, role, name, app=None, store=None):
        fields = {"node": name, "ip": "127.0.0.1", "bounds": self.BOUNDS, "app": app,
                  "listen": {key: "127.0.0.1:%d" % free_port()
                             for key in ("front", "ready", "control")},
                  "port_range": [free_port(), free_port()],
                  "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
                  "platform": {"addr": store or self.store.address, "ttl_min_ms": 1000}}
        if self.cloud is not None:
            fields["cloud"] = {"addr": self.cloud.address}
        self.fields[name] = fields
        template = open(os.path.join(ROOT, self.roles[role]["template"])).read()
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as file:
            file.write(fill(template, fields))
        words = shlex.split(self.roles[role]["run"])
        words[-1] = path
        if not os.access(os.path.join(ROOT, words[0]), os.X_OK):
            raise FileNotFoundError(words[0])
        log = open(os.path.join(self.folder, name + ".log"), "w")
        self.processes[name] = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log)
        return fields["listen"]

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def leader(self):
        """Returns the node that holds the leader key, as the key's value names it."""
        value = self.store.read("leader")
        return value.decode().split("#")[1] if value else None

    def ended(self):
        """Returns the processes that ended by themselves, each with the last line of its log."""
        names = [name for name, process in self.processes.items() if process.poll() is not None]
        logs = [open(os.path.join(self.folder, name + ".log")).read() for name in names]
        return [(name, log.strip().split("\n")[-1]) for name, log in zip(names, logs)]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


CONFIGURATION = {
    "version": 3,
    "routes": [
        {"name": "advance-quote", "host": "jobs.example", "path_prefix": "/quote/",
         "service": "factura-core", "priority": 0, "attempts": 3, "stretch": 1.5, "slo_ms": 250},
        {"name": "debtor-review", "host": "jobs.example", "path_prefix": "/review/",
         "service": "factura-core", "priority": 1, "attempts": 3, "stretch": 3.0, "slo_ms": 1000},
    ],
    "services": [{"name": "factura-core", "enforces_capacity": True}],
    "tenants": [{"name": "tenant-a", "api_keys": ["key-of-tenant-a"], "guaranteed": {"gpu": 16}}],
    "limits": {"max_body_bytes": 262144},
}
CLIENT = {"Host": "jobs.example", "X-Api-Key": "key-of-tenant-a"}


async def until(condition, seconds):
    """Waits for a condition, which may be a coroutine function; returns whether it came."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.05)
    return None


BROKEN = 10  # run.sh turns it into 1, so that no error of Python can look like a broken rule


def main(case, folder):
    """Runs `case(record, deployments)`; returns BROKEN if it returns true, else 0; 2 on errors."""
    record = Record(folder)

    async def run():
        deployments = []
        try:
            return await asyncio.wait_for(case(record, deployments), 110)
        finally:
            for deployment in deployments:
                deployment.stop()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # the case could not run
        record("could not run: %r" % error)
        print("could not run: %r" % error)
        return 2
    text = "the rule was broken" if broken else "the rule held"
    record(text)
    print(text)
    return BROKEN if broken else 0
