"""Stand-ins for the platform (store, workers, instance provider) and a client.

Written from the users' pages only. Everything listens on loopback addresses. The store keeps
its rows in memory and loses nothing that it has acknowledged. Workers keep to the section
"Running tasks" of PROTOCOL: fencing tokens, leases, runs, ends, cursors.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
ENTRY = os.path.join("target", "release", "masticfalld")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now_ms():
    return int(time.monotonic() * 1000)


def wall_ms():
    return int(time.time() * 1000)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def at(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.at():8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {key: values[0] for key, values in parse_qs(parts.query, keep_blank_values=True).items()}

    def json(self):
        return json.loads(self.body or b"{}")


DROP = object()


class HttpServer:
    """A small HTTP/1.1 server; a handler returns (status, value), or DROP for no answer."""

    def __init__(self, handler, port=0):
        self.handler, self.port, self.server = handler, port, None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(Request(method, target, headers, body))
                if answer is DROP:
                    # A connection on which a response is lost delivers nothing further.
                    await reader.read(-1)
                    return
                status, value = answer
                data = json.dumps(value).encode() if value is not None else b""
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    TX_MS = 4
    RETENTION_S = 20

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)
        # Returns after how many seconds a write is done whose answer is lost, or None.
        self.loses = lambda body: None

    async def start(self):
        await self.server.start()
        return self

    async def apply(self, puts, removes):
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.log.append((self.version, time.monotonic(), key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.log.append((self.version, time.monotonic(), key, None))
        horizon = time.monotonic() - self.RETENTION_S
        while self.log and self.log[0][1] < horizon:
            self.forgotten = self.log.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def put(self, table, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.apply([((table, "", key), data)], [])

    async def remove(self, table, key):
        return await self.apply([], [(table, "", key)])

    def read(self, table, key):
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    @staticmethod
    def shown(key, value, version):
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    async def handle(self, request):
        query = request.query
        if request.path == "/-/rows-tx":
            return await self.transact(request.json())
        base = {"ver": self.version, "now_ms": now_ms()}
        if request.path == "/-/rows-get":
            table, part = query["table"], query.get("part", "")
            begin, end = query.get("from", ""), query.get("to", "")
            limit = min(int(query.get("limit", "500")), 500)
            keys = sorted(k for k in self.rows if k[0] == table and k[1] == part
                          and k[2] >= begin and (not end or k[2] < end))
            rows = [self.shown(k, *self.rows[k]) for k in keys[:limit]]
            await asyncio.sleep(self.TX_MS / 1000)
            return 200, dict(base, rows=rows, has_more=len(keys) > limit)
        if request.path == "/-/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == query["table"]})
            return 200, dict(base, parts=parts, has_more=False)
        if request.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, None

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.forgotten:
                return 410, None
            latest = {}
            for version, _, key, value in self.log:
                if version > after and key[0] == table:
                    latest.pop(key, None)
                    latest[key] = (value, version)
            left = until - time.monotonic()
            if latest or left <= 0:
                rows = [self.shown(key, *latest[key]) for key in latest]
                return 200, {"rows": rows, "ver": self.version, "now_ms": now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        await asyncio.sleep(self.TX_MS / 1000)
        delay_s = self.loses(body)
        if delay_s is None:
            return await self.commit(body)

        async def late():
            await asyncio.sleep(delay_s)
            await self.commit(body)

        asyncio.create_task(late())
        return DROP

    async def commit(self, body):
        key_of = lambda entry: (entry["table"], entry["part"], entry["key"])
        checks, puts, removes = body.get("expected_rev", []), body.get("puts", []), body.get("remove", [])
        if len(checks) + len(puts) + len(removes) > 100:
            return 400, None
        if len({entry["part"] for entry in checks + puts + removes}) > 1:
            return 400, None
        if any(entry["table"] in ("op", "servers") for entry in puts + removes):
            return 403, None
        if any(self.rows.get(key_of(c), (None, 0))[1] != c["ver"] for c in checks):
            current = [key_of(c) for c in checks if key_of(c) in self.rows]
            rows = [self.shown(key, *self.rows[key]) for key in current]
            return 412, {"rows": rows, "ver": self.version, "now_ms": now_ms()}
        version = await self.apply([(key_of(p), p["value"]) for p in puts], [key_of(r) for r in removes])
        return 200, {"ver": version, "now_ms": now_ms()}


class Run:
    def __init__(self, task, attempt, spec, begun_ms, length_ms):
        self.task, self.attempt, self.spec = task, attempt, spec
        self.begun_ms, self.length_ms = begun_ms, length_ms


class Worker:
    """One life of an executor. Its clock counts from its start."""

    MAX_HOLD_MS = 6000
    STOP_GRACE_MS = 200

    def __init__(self, fleet, machine, service, cpu):
        self.fleet, self.machine, self.service, self.cpu = fleet, machine, service, cpu
        self.id = f"i-{machine}-{fleet.next_life()}"
        self.born = wall_ms()
        self.begun = time.monotonic()
        self.fence, self.deadline_ms = 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.end_number, self.seq = 0, 0
        self.state = "ready"
        self.ends_changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.begun) * 1000)

    async def start(self):
        await self.server.start()
        await self.beat()
        self.tasks = [asyncio.create_task(self.beats()), asyncio.create_task(self.work())]
        return self

    async def beat(self):
        self.seq += 1
        await self.fleet.store.put("servers", self.id, {
            "service": self.service, "address": self.server.address, "zone": "z1", "version": "v1",
            "slots": 8, "state": self.state, "cold_remaining_ms": 0, "capacity": self.capacity(),
            "labels": ["a", "r1"], "clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born})

    def capacity(self):
        return {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0}

    async def beats(self):
        while True:
            await asyncio.sleep(1.5)
            await self.beat()

    async def leave(self):
        """Ends at once; everything that runs here ends with it."""
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self.fleet.record(f"worker {self.id} ends with run {run.task} attempt {run.attempt}")
        self.running.clear()
        await self.server.stop()
        await self.fleet.store.remove("servers", self.id)

    async def drain(self):
        self.state = "draining"
        await self.beat()
        self.fleet.record(f"store acknowledged that worker {self.id} is draining")

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock_ms()
            if self.running and clock > self.deadline_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                if run.length_ms is not None and clock >= run.begun_ms + run.length_ms:
                    self.end(run, "done")

    def end(self, run, how):
        if self.running.pop(run.task, None) is None:
            return
        self.end_number += 1
        self.ended.append([self.end_number, run.task, run.attempt, how, ""])
        self.fleet.record(f"worker {self.id}: run {run.task} attempt {run.attempt} ended {how}")
        self.fleet.ends.append((time.monotonic(), run.task, run.attempt, how, self.id))
        self.ends_changed.set()

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            deadline_ms = min(deadline_ms, self.clock_ms() + self.MAX_HOLD_MS)
            self.deadline_ms = max(self.deadline_ms, deadline_ms)

    async def handle(self, request):
        target = request.headers.get("masticfall-target-instance")
        if target is not None and target != self.id:
            return 421, None
        if request.path == "/health":
            return (200 if self.state == "ready" else 503), None
        body = request.json()
        verdict = await self.fleet.on_call(self, request.path, body)
        if verdict is DROP:
            return DROP
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if request.path == "/-/run-start":
            return self.run_start(body)
        if request.path == "/-/run-stop":
            return self.run_stop(body)
        if request.path == "/-/hold":
            return await self.hold(body)
        if request.path == "/-/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, None

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def run_start(self, body):
        task, attempt, deadline = body["task"], body["attempt"], body["deadline_ms"]
        current = self.running.get(task)
        if current is not None and current.attempt == attempt:
            self.extend(deadline)
            return 200, {"clock_ms": self.clock_ms()}
        if deadline <= self.clock_ms():
            return self.refuse("late")
        if attempt <= self.highest.get(task, 0) or current is not None:
            self.extend(deadline)
            return self.refuse("old")
        needs = self.fleet.needs(task)
        if sum(self.fleet.needs(name) for name in self.running) + needs > self.cpu:
            self.extend(deadline)
            return self.refuse("room")
        self.extend(deadline)
        self.highest[task] = attempt
        self.running[task] = Run(task, attempt, body["spec"], self.clock_ms(), self.fleet.length_ms(task))
        self.fleet.record(f"worker {self.id}: started {task} attempt {attempt} fence {body.get('fencing_token')}")
        self.fleet.starts.append((time.monotonic(), task, attempt, self.id))
        return 200, {"clock_ms": self.clock_ms()}

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.running.get(task)
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if run is not None and run.attempt == attempt:
            self.fleet.record(f"worker {self.id}: told to stop {task} attempt {attempt}")
            asyncio.get_running_loop().call_later(self.STOP_GRACE_MS / 2000, self.end, run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        cursor = body.get("ack_cursor", 0)
        self.ended = [end for end in self.ended if end[0] > cursor]
        self.extend(body.get("deadline_ms"))
        wait_ms = min(body.get("wait_ms", 0), 2000)
        if wait_ms and not self.ended:
            self.ends_changed.clear()
            try:
                await asyncio.wait_for(self.ends_changed.wait(), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        clock = self.clock_ms()
        running = []
        for run in self.running.values():
            percent = 100 if run.length_ms is None else min(99, (clock - run.begun_ms) * 100 // max(run.length_ms, 1))
            running.append([run.task, run.attempt, "", percent, self.fleet.needs(run.task)])
        return 200, {"clock_ms": clock, "born": self.born, "running": running, "finished": self.ended[:500]}


class Fleet:
    """The platform as a whole: store, workers, instance provider."""

    MOVE_S = 1.5
    UPKEEP_S = 2.0

    def __init__(self, record):
        self.record = record
        self.lives = 0
        self.starts, self.ends = [], []
        self.jobs = {}
        self.workers = {}
        self.machines = {}
        self.upkeeps = []
        self.machine_orders = []
        self.waves = {}
        self.provider = HttpServer(self.provide)
        self.on_call_hook = None

    def next_life(self):
        self.lives += 1
        return f"{self.lives:04x}"

    async def start(self):
        self.store = await Store().start()
        await self.provider.start()
        return self

    async def add_worker(self, machine, service, cpu=8000):
        worker = await Worker(self, machine, service, cpu).start()
        self.workers[machine] = worker
        self.machines.setdefault(machine, {"pool": service, "state": "up", "cpu": cpu, "done_waves": set()})
        return worker

    def needs(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]["cpu"] if job in self.jobs else 0

    def length_ms(self, task):
        """The duration of a task; None for one that lasts."""
        job, _, step, _ = task.split(".")
        spec = self.jobs[job]["steps"][int(step)]
        return None if spec.get("long_running") else spec["estimate_ms"]

    async def on_call(self, worker, path, body):
        return await self.on_call_hook(worker, path, body) if self.on_call_hook else None

    async def provide(self, request):
        if request.path == "/-/machines":
            listed = []
            for name, machine in self.machines.items():
                worker = self.workers.get(name)
                entry = {"machine": name, "pool": machine["pool"], "state": machine["state"], "zone": "z1",
                         "labels": ["a", "r1"], "capacity": {"cpu": machine["cpu"], "mem_mb": 65536, "gpu": 0}}
                if worker is not None:
                    entry["id"] = worker.id
                listed.append(entry)
            return 200, {"machines": listed, "next_token": None}
        body = request.json()
        name = body.get("machine")
        machine = self.machines.get(name)
        if machine is None:
            return 400, None
        holder = request.headers.get("masticfall-lease-holder")
        token = int(request.headers.get("masticfall-fencing-token", "0"))
        self.machine_orders.append((time.monotonic(), name, request.path, holder, token))
        self.record(f"provider: {request.path} of {name} by {holder} with token {token}")
        if request.path == "/-/machine-move":
            if machine["pool"] == body["pool"]:
                return 200, None
            if machine["state"] != "up":
                return 409, {"reason": "busy"}
            self.record(f"provider: {name} moves to {body['pool']}")
            await self.take_down(name, "moving", self.MOVE_S, body["pool"])
            return 200, None
        if request.path == "/-/machine-upkeep":
            wave = self.waves.get(str(body["wave"]))
            if wave is None or name not in wave["machines"]:
                return 409, {"reason": "wave"}
            if str(body["wave"]) in machine["done_waves"]:
                return 200, None
            if machine["state"] != "up":
                return 409, {"reason": "busy"}
            down = [n for n in wave["machines"] if self.machines[n]["state"] == "upkeep"]
            self.record(f"provider: upkeep of {name} for wave {body['wave']} begins; down for it already: {len(down)}")
            self.upkeeps.append((time.monotonic(), str(body["wave"]), name, len(down), wave["maximum"]))
            machine["done_waves"].add(str(body["wave"]))
            await self.take_down(name, "upkeep", self.UPKEEP_S, machine["pool"])
            return 200, None
        return 404, None

    async def take_down(self, name, state, length_s, pool):
        machine = self.machines[name]
        machine["state"] = state
        worker = self.workers.pop(name, None)
        if worker is not None:
            await worker.leave()
        machine["pool"] = pool

        async def back():
            await asyncio.sleep(length_s)
            machine["state"] = "up"
            await self.add_worker(name, pool, machine["cpu"])

        asyncio.create_task(back())


class Link:
    """The path of one process to one service. While it is cut, bytes are held up.

    As in DEPLOY, Network: "Bytes that are held up by a partition are lost if their sender resets
    the connection". A connection that its sender closes delivers them once the cut is over. A
    connection that is opened during a cut never comes about.
    """

    def __init__(self, target, watch=None):
        self.target, self.watch = target, watch
        self.open = asyncio.Event()
        self.open.set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def accept(self, reader, writer):
        if not self.open.is_set():
            await self.open.wait()
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer, self.watch), self.pump(far_reader, writer, None))

    async def pump(self, reader, writer, watch):
        try:
            while True:
                data = await reader.read(65536)
                if watch is not None and data:
                    watch(data)
                await self.open.wait()
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            # The sender has reset the connection, or the other side is gone.
            writer.transport.abort()


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, fleet, number, folder, overrides=None):
        self.fleet, self.number = fleet, number
        self.name = f"front-z1-{number}"
        self.callers, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.path = os.path.join(folder, f"{self.name}.ini")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.log_path = os.path.join(folder, f"{self.name}.log")
        self.overrides = overrides or {}
        self.process = None

    def write_settings(self):
        values = {
            "name": self.name, "data_centre": "z1", "callers": f"127.0.0.1:{self.callers}",
            "readiness": f"127.0.0.1:{self.ready}", "peers": f"127.0.0.1:{self.peers}",
            "metrics": f"127.0.0.1:{self.metrics}", "store": self.fleet.store.server.address,
            "machines": self.fleet.provider.address, "advice": "", "worker_lease_ms": 6000,
            "stop_grace_ms": 200, "machine_lease_ms": 3000, "machine_calls_per_s": 64.0,
            "stop_signal_grace_s": 6, "away_notice_ms": 4500, "move_s": 1.5, "keep_ended_s": 120,
            "cpu_share": 0.25, "link_mbps": 1000.0, "notify_owner": "on", "hedge_after_ms": 150,
            "early_start_after_ms": 0, "remote_factor": 3,
        }
        values.update(self.overrides)
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("[fleet]\n" + "".join(f"{key} = {value}\n" for key, value in values.items()))

    async def start(self):
        self.write_settings()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            ENTRY, "--settings", self.path, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.fleet.record(f"started {self.name} as process {self.process.pid}")

    async def terminate(self, grace_s=6.0):
        """SIGTERM, and SIGKILL after the grace period; returns once the process has ended."""
        self.fleet.record(f"SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.fleet.record(f"{self.name} has ended with {self.process.returncode}")

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _ = await call(self.ready, "GET", "/-/ready", {}, b"", 1.0)
            return status == 200
        except OSError:
            return False


async def call(port, method, target, headers, body, timeout_s):
    """Makes one HTTP call over a new connection; returns (status, body)."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            data = await reader.read(-1)
        finally:
            writer.close()
        head, _, rest = data.partition(b"\r\n\r\n")
        if not head:
            raise ConnectionError("the connection ended without an answer")
        status = int(head.split(b" ", 2)[1])
        length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")]
        return status, rest[: int(length[0].split(b":")[1])] if length else rest

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.TimeoutError:
        raise ConnectionError("no answer in time") from None


class Client:
    """A client of one queue."""

    def __init__(self, fleet, host, prefix, key=None):
        self.fleet, self.host, self.prefix, self.key = fleet, host, prefix, key

    async def request(self, entry, method, job, body=b"", deadline_ms=3000):
        headers = {"Host": self.host, "Masticfall-Deadline-Ms": deadline_ms}
        if self.key:
            headers["Api-Key"] = self.key
        if body:
            headers["Content-Type"] = "application/json"
        try:
            answer = await call(entry.callers, method, self.prefix + job, headers, body, deadline_ms / 1000)
        except OSError as error:
            self.fleet.record(f"client: {method} {self.prefix}{job} at {entry.name} -> {error}")
            return None, b""
        self.fleet.record(f"client: {method} {self.prefix}{job} at {entry.name} -> {answer[0]} {answer[1][:80].decode()}")
        return answer

    async def submit(self, entry, job, steps, deadline_ms=3000):
        self.fleet.jobs[job] = {"steps": steps}
        body = json.dumps({"spec": f"spec of {job}", "steps": steps}).encode()
        return await self.request(entry, "POST", job, body, deadline_ms)


async def until(condition, timeout_s, pause_s=0.05):
    """Waits for a condition; returns whether it came true."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return True
        await asyncio.sleep(pause_s)
    return False


def play(scenario, here):
    """Runs a scenario, which returns 0, 1 or 2, and ends all that it started."""
    record = Record(os.path.join(here, "record.txt"))
    keep = os.environ.get("KEEP_LOGS")

    async def run():
        # The stand-ins' connections are cut off at the end; that isn't an error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        with tempfile.TemporaryDirectory() as temporary:
            folder = keep or temporary
            fleet = await Fleet(record).start()
            entries = []
            try:
                return await asyncio.wait_for(scenario(fleet, entries, folder), 115)
            finally:
                for entry in entries:
                    await entry.kill()

    if not os.path.exists(os.path.join(ROOT, ENTRY)):
        record("the entry process isn't built")
        code = 2
    else:
        record(f"TROUBLE={1 if TROUBLE else 0}")
        try:
            code = asyncio.run(run())
        except Exception as error:  # The case couldn't run.
            record(f"could not run: {type(error).__name__}: {error}")
            code = 2
    record(f"exit code {code}")
    sys.stderr.write(f"exit code {code}\n")
    # Tasks of the stand-ins may still be in the midst of a call.
    sys.stderr.flush()
    os._exit(code)


async def start_entries(fleet, entries, folder, count, overrides=None):
    """Starts entry processes and waits until all of them are ready."""
    for number in range(1, count + 1):
        entry = Entry(fleet, number, folder, overrides)
        entries.append(entry)
        await entry.start()
    for entry in entries:
        if not await until(entry.is_ready, 15):
            raise RuntimeError(f"{entry.name} is not ready")
