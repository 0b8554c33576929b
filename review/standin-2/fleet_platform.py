"""Stand-in for the users' platform: metadata store, workers, provider of machines.

Speaks what PROTOCOL.md says, over HTTP/1.1 on loopback addresses. Everything runs in
one event loop on the real clock; workers run no code, a task is a timer. What a caller,
a worker or the provider can see is written to the record of the case.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import time
import traceback
import zlib
from urllib.parse import parse_qs, urlsplit

MAX_HOLD_MS = 6_000
STOP_MS = 100
HEARTBEAT_S = 1.5
CHECKPOINT_INTERVAL_S = 0.5


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", random.SystemRandom().randrange(15_000, 31_000)))
            except OSError:
                continue
            return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {kind} {text}\n")
        self.file.flush()


class Abort(Exception):
    """The connection is closed without an answer."""


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


class HttpServer:
    """Serves `handle(method, path, query, headers, body) -> (status, value)`."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, target, headers, body = request
                parts = urlsplit(target)
                query = {k: v[-1] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                status, value = await self.handle(method, parts.path, query, headers, body)
                data = b"" if value is None else json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (Abort, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Closes the port and all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()


async def call(address, method, target, headers=None, value=None, timeout_s=3.0):
    """Sends one request over a new connection; returns status and body, or None, None."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in ({"Host": address} | (headers or {})).items()]
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        status = int((await reader.readline()).split()[1])
        length = 0
        while True:
            line = (await reader.readline()).decode().strip().lower()
            if not line:
                break
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        return status, await reader.readexactly(length)

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None, None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The metadata store: rows with versions from one counter, and feeds of changes."""

    TX_S = 0.004

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.too_large = 0
        self.changed = asyncio.Event()
        self.begun = time.monotonic()
        self.server = HttpServer(self.handle)

    def now_ms(self):
        return int((time.monotonic() - self.begun) * 1000)

    def commit(self, puts, removes):
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.history.append((self.version, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        """Writes a row of the operators or of a worker."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return self.commit([((table, "", key), data)], [])

    def remove(self, table, key):
        self.commit([], [(table, "", key)])

    def value(self, table, key):
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def row(self, key, value, version):
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    async def handle(self, method, path, query, headers, body):
        if path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/-/rows-get":
            await asyncio.sleep(self.TX_S)
            start, end = query.get("from", ""), query.get("to", "")
            limit = min(int(query.get("limit", 500)), 500)
            place = (query["table"], query.get("part", ""))
            keys = sorted(
                (key for key in self.rows if key[:2] == place and key[2] >= start and (not end or key[2] < end)),
                key=lambda key: key[2].encode(),
            )
            rows = [self.row(key, *self.rows[key]) for key in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "ver": self.version, "now_ms": self.now_ms()}
        if path == "/-/rows-feed":
            table, after = query["table"], int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                rows = []
                for version, key, value in reversed(self.history):
                    if version <= after:
                        break
                    if key[0] == table:
                        rows.append(self.row(key, value, version))
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows[::-1], "ver": self.version, "now_ms": self.now_ms()}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/rows-parts":
            parts = sorted({key[1] for key in self.rows if key[0] == query["table"]})
            return 200, {"parts": parts[:1000]}
        return 404, None

    async def transact(self, wire):
        await asyncio.sleep(self.TX_S)
        place = lambda row: (row["table"], row.get("part", ""), row["key"])
        checks = [(place(row), row["ver"]) for row in wire.get("expected_rev", [])]
        if any(self.rows.get(key, (None, 0))[1] != version for key, version in checks):
            rows = [self.row(key, *self.rows[key]) for key, _ in checks if key in self.rows]
            return 412, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
        puts = [(place(row), row["value"]) for row in wire.get("puts", [])]
        removes = [place(row) for row in wire.get("remove", [])]
        if any(key[0] in ("op", "servers") for key in [k for k, _ in puts] + removes):
            return 403, None
        if any(len(base64.b64decode(value)) > 65_536 for _, value in puts):
            self.too_large += 1
            return 400, {"reason": "row_bytes"}
        return 200, {"ver": self.commit(puts, removes), "now_ms": self.now_ms()}


class Run:
    def __init__(self, task, attempt, work_s, cpu, lasts):
        self.task, self.attempt, self.cpu, self.lasts = task, attempt, cpu, lasts
        self.begun = time.monotonic()
        self.work_s = work_s
        self.checkpoint_digits = 0
        self.handle = None

    def saved(self):
        """Returns the checkpoint: hexadecimal digits, new after each interval of work."""
        intervals = int((time.monotonic() - self.begun) / CHECKPOINT_INTERVAL_S)
        if intervals == 0 or not self.checkpoint_digits:
            return ""
        return f"{zlib.crc32(self.task.encode()):08x}{intervals:08x}".rjust(self.checkpoint_digits, "0")

    def percent(self):
        if self.lasts:
            return 100 if time.monotonic() - self.begun > self.work_s else 0
        return min(99, int(100 * (time.monotonic() - self.begun) / max(self.work_s, 0.001)))


class Worker:
    """An executor: one life of a machine. A spec is JSON: `ms` or `times`, `cpu`, `lasts`, ..."""

    def __init__(self, world, machine, worker_id, pool):
        self.world, self.machine, self.id, self.pool = world, machine, worker_id, pool
        self.begun = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.ended = {}
        self.finished = []
        self.number = 0
        self.seq = 0
        self.is_up = True
        self.is_draining = False
        self.event = asyncio.Event()
        self.server = HttpServer(self.handle)

    async def start(self):
        await self.server.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch_lease())]
        return self

    def clock_ms(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    async def beat(self):
        while self.is_up:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.seq += 1
        machine = self.world.machines[self.machine]
        self.world.store.put("servers", self.id, {
            "service": self.pool, "address": self.server.address, "zone": machine["zone"],
            "version": "v1", "slots": 8, "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0, "capacity": machine["capacity"], "labels": machine["labels"],
            "clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born,
        })

    async def watch_lease(self):
        while self.is_up:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.deadline_ms:
                for key in list(self.runs):
                    self.end(key, "lapsed")

    def end_life(self):
        """Everything that runs here terminates; the address closes."""
        self.is_up = False
        for key in list(self.runs):
            run = self.runs.pop(key)
            if run.handle:
                run.handle.cancel()
            self.world.record.add("run-lost", worker=self.id, task=run.task, attempt=run.attempt)
        for task in self.tasks:
            task.cancel()
        self.server.stop()
        self.world.store.remove("servers", self.id)

    def end(self, key, how):
        run = self.runs.pop(key, None)
        if run is None:
            return
        if run.handle:
            run.handle.cancel()
        self.number += 1
        self.finished.append([self.number, run.task, run.attempt, how, run.saved()])
        self.ended[run.task] = max(self.ended.get(run.task, 0), run.attempt)
        if how == "done":
            name, _, step, index = run.task.split(".")
            self.world.done.add((name, int(step), int(index)))
        self.world.record.add("run-end", worker=self.id, task=run.task, attempt=run.attempt, how=how)
        self.event.set()
        self.event = asyncio.Event()

    def take_lease(self, deadline_ms):
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, None
        if headers.get("masticfall-target-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        wire = json.loads(body)
        reply = {"clock_ms": self.clock_ms(), "born": self.born}
        token = wire.get("fencing_token", 0)
        if token < self.fence:
            return 409, reply | {"reason": "fence"}
        self.fence = token
        if path == "/-/run-start":
            return self.run_start(wire, reply)
        if path == "/-/run-stop":
            key = (wire["task"], wire["attempt"])
            if key in self.runs:
                asyncio.get_running_loop().call_later(STOP_MS / 1000, self.end, key, "stopped")
            else:
                self.ended[key[0]] = max(self.ended.get(key[0], 0), key[1])
            return 200, reply
        if path == "/-/hold":
            return await self.hold(wire)
        if path == "/-/pace":
            return 200, reply
        return 400, reply

    def run_start(self, wire, reply):
        task, attempt = wire["task"], wire["attempt"]
        self.take_lease(wire["deadline_ms"])
        if (task, attempt) in self.runs:
            return 200, reply
        if attempt <= self.ended.get(task, 0):
            return 409, reply | {"reason": "old"}
        if wire["deadline_ms"] <= self.clock_ms():
            return 409, reply | {"reason": "late"}
        spec = json.loads(wire["spec"])
        used = sum(run.cpu for run in self.runs.values())
        if used + spec["cpu"] > self.world.machines[self.machine]["capacity"]["cpu"]:
            return 409, reply | {"reason": "room"}
        ms = spec["ms"] if "ms" in spec else self.time_of(spec, task)
        run = Run(task, attempt, ms / 1000, spec["cpu"], spec.get("lasts", False))
        run.checkpoint_digits = spec.get("checkpoint_digits", 0)
        self.runs[(task, attempt)] = run
        if not run.lasts:
            how = spec.get("how", "done")
            run.handle = asyncio.get_running_loop().call_later(run.work_s, self.end, (task, attempt), how)
        self.world.record.add("run-start", worker=self.id, task=task, attempt=attempt, token=wire["fencing_token"])
        self.world.started(self, task, attempt)
        return 200, reply

    @staticmethod
    def time_of(spec, task):
        """Returns a task's time from a list by step and index."""
        step, index = task.split(".")[2:]
        return spec["times"][int(step)][int(index)]

    async def hold(self, wire):
        self.take_lease(wire.get("deadline_ms"))
        acked = wire.get("ack_cursor", 0)
        self.finished = [row for row in self.finished if row[0] > acked]
        if not self.finished and wire.get("wait_ms"):
            try:
                await asyncio.wait_for(self.event.wait(), min(wire["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.is_up:
            raise Abort
        running = [[r.task, r.attempt, r.saved(), r.percent(), r.cpu] for r in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "finished": self.finished[:500]}


class World:
    """The platform of one case, with its entry processes."""

    MOVE_S = 1.5
    MAINTENANCE_S = 2.0

    def __init__(self, record, folder, template):
        self.record, self.folder, self.template = record, folder, template
        self.store = Store()
        self.machines = {}
        self.workers = {}
        self.waves = {}
        self.cloud = HttpServer(self.handle_cloud)
        self.cloud_delay_s = 0.004
        self.breaks = []
        self.processes = {}
        self.settings = {}
        self.lives = 0
        self.on_upkeep = None
        self.done = set()

    def broken(self, rule, **fields):
        self.breaks.append((rule, fields))
        self.record.add("BROKEN", rule=rule, **fields)

    def started(self, worker, task, attempt):
        """A start: TWICE is broken if the task runs elsewhere, on a worker that is up."""
        for other in self.workers.values():
            for run in other.runs.values():
                if run.task == task and (other is not worker or run.attempt != attempt):
                    self.broken("TWICE", task=task, attempts=f"{run.attempt}@{other.id},{attempt}@{worker.id}")

    async def start(self):
        await self.store.server.start()
        await self.cloud.start()

    async def add_machine(self, name, pool, zone, cores=16, labels=("a", "r1-1")):
        self.machines[name] = {
            "pool": pool, "zone": zone, "state": "up", "labels": list(labels), "wave_done": set(),
            "capacity": {"cpu": cores * 1000, "mem_mb": cores * 2048, "gpu": 0}, "id": None, "down_for": None,
        }
        await self.begin_life(name)

    async def begin_life(self, name):
        machine = self.machines[name]
        self.lives += 1
        worker = Worker(self, name, f"i-{self.lives:08x}", machine["pool"])
        await worker.start()
        self.workers[worker.id] = worker
        machine.update(state="up", id=worker.id, down_for=None)

    async def handle_cloud(self, method, path, query, headers, body):
        if path == "/-/machines":
            await asyncio.sleep(0.004)
            keys = ("pool", "state", "zone", "labels", "capacity", "id")
            rows = [{"machine": name} | {k: m[k] for k in keys} for name, m in self.machines.items()]
            return 200, {"machines": rows, "next_token": None}
        wire = json.loads(body)
        holder, token = headers.get("masticfall-lease-holder"), headers.get("masticfall-fencing-token")
        what = path.rsplit("-", 1)[-1]
        self.record.add(f"{what}-call", machine=wire["machine"], holder=holder, token=token)
        if self.on_upkeep and what == "upkeep":
            machine = self.machines.get(wire["machine"])
            if machine is not None and wire.get("wave") not in machine["wave_done"]:
                self.on_upkeep(holder)
        # Carried out and answered at the end: the connection may be gone by then.
        answer = asyncio.shield(asyncio.create_task(self.change(what, wire, holder)))
        return await answer

    async def change(self, what, wire, holder):
        await asyncio.sleep(self.cloud_delay_s)
        machine = self.machines.get(wire["machine"])
        if machine is None:
            return 400, None
        if what == "move" and machine["pool"] == wire["pool"]:
            return 200, None
        wave = wire.get("wave")
        if what == "upkeep":
            if wave not in self.waves or wire["machine"] not in self.waves[wave]["machines"]:
                return 409, {"reason": "wave"}
            if wave in machine["wave_done"]:
                return 200, None
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        if what == "upkeep":
            maximum = self.waves[wave]["maximum"]
            down = [n for n, m in self.machines.items() if m["down_for"] == wave]
            self.record.add("upkeep-begin", machine=wire["machine"], holder=holder, down=",".join(down) or "-", maximum=maximum)
            if len(down) >= maximum:
                self.broken("LIMIT", machine=wire["machine"], holder=holder, down=",".join(down), maximum=maximum)
            machine["wave_done"].add(wave)
            machine.update(state="upkeep", down_for=wave)
            pause_s = self.MAINTENANCE_S
        else:
            self.record.add("move-begin", machine=wire["machine"], pool=wire["pool"], holder=holder)
            machine.update(state="moving", pool=wire["pool"])
            pause_s = self.MOVE_S
        self.workers.pop(machine["id"]).end_life()
        machine["id"] = None
        asyncio.create_task(self.come_back(wire["machine"], pause_s))
        return 200, None

    async def come_back(self, name, pause_s):
        await asyncio.sleep(pause_s)
        self.record.add("machine-back", machine=name)
        await self.begin_life(name)

    def announce_wave(self, number, machines, maximum, finish_by_s):
        self.waves[number] = {"machines": machines, "maximum": maximum}
        self.record.add("wave", wave=number, machines=",".join(machines), maximum=maximum, finish_by_s=finish_by_s)
        self.store.put("op", f"wave/{number}", {
            "wave": number, "machines": machines, "finish_by_s": finish_by_s, "maximum": maximum,
        })

    # Entry processes

    def render(self, name, zone):
        """Fills the project's settings template in, as the platform does at a start."""
        values = {
            "node": name, "zone": zone, "ip": "127.0.0.1",
            "platform.address": self.store.server.address, "cloud.address": self.cloud.address,
            "advice": "127.0.0.1:9", "bounds.max_hold_ms": MAX_HOLD_MS, "bounds.stop_grace_ms": 900,
            "bounds.lease_ms": 3000, "cloud.duty_per_s": 64.0, "bounds.grace_s": 6,
            "bounds.notice_ms": 4500, "bounds.move_s": 1.5, "bounds.status_s": 120,
            "limits.cpu_share": 0.25, "limits.link_mbps": 1000.0, "bounds.remote_factor": 3,
        }
        ports = self.settings.setdefault(name, {k: free_port() for k in ("front", "ready", "control", "metrics")})
        for key in ("front", "ready", "control"):
            values[f"listen.{key}"] = f"127.0.0.1:{ports[key]}"
        values["port_range.0"] = ports["metrics"]
        text = self.template
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        if "{{" in text:
            raise SystemExit(f"unknown placeholder in the template: {text[text.index('{{'):][:40]}")
        path = os.path.join(self.folder, f"{name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def spawn(self, program, name, zone):
        path = self.render(name, zone)
        log = open(os.path.join(self.folder, f"{name}.log"), "a", encoding="utf-8")
        process = await asyncio.create_subprocess_exec(program, "--settings", path, stdout=log, stderr=log)
        self.processes[name] = process
        self.record.add("process-start", name=name, pid=process.pid)
        return process

    def front(self, name):
        return f"127.0.0.1:{self.settings[name]['front']}"

    async def wait_ready(self, name, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _ = await call(f"127.0.0.1:{self.settings[name]['ready']}", "GET", "/-/ready", timeout_s=1)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    async def end(self):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()


def config(version, routes, tenants, services):
    return {
        "version": version, "services": services, "tenants": tenants, "routes": routes,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
    }


def route(name, service, prefix, attempts=4, priority=0, public=False):
    return {
        "name": name, "host": "pule.example", "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
        "target_duration_ms": 600, "priority": priority, "service": service, "attempts": attempts,
        "stretch": 2.2, "public": public,
    }


def job(count, ms, cpu, **fields):
    """A job of one step; the spec tells the stand-in worker what to do."""
    spec = {"ms": ms, "cpu": cpu} | ({"lasts": True} if fields.get("long_running") else {})
    if "how" in fields:
        spec["how"] = fields.pop("how")
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": ms} | fields
    return {"spec": json.dumps(spec), "steps": [step]}


def job_id():
    return f"{random.getrandbits(64):016x}"


def run_case(main):
    """Runs a case; exits with 2 if it can't come to a result."""
    try:
        code = asyncio.run(main())
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        code = 2
    sys.exit(code)
