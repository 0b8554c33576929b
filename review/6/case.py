"""The provider goes away during upkeep calls; the machines come back and get no work."""

import asyncio
import json
import os
import random
import sys
import tempfile

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "review", "standin-2"))
import fleet_platform as fp

PROGRAM = os.path.join(ROOT, "target", "release", "masticfalld")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NAMES = {"front-1": "zapopan", "front-2": "tlaquepaque", "front-3": "centro"}
KEY = "key-of-tenant-1"
HEADERS = {"Host": "pule.example", "Api-Key": KEY, "Masticfall-Deadline-Ms": "3000"}
MACHINES, CORES, TASK_CPU = 2, 64, 3500
JOBS = 12
AWAY_S = 5
UNDER_WAY_S = 0.05
FINISH_S = 14
STUCK_S = 3


class Provider(fp.World):
    """Is away once for 5 s, from its first upkeep call on.

    It carries out the upkeep calls that are under way then, and answers none of them.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.away_from = None

    async def handle_cloud(self, method, path, query, headers, body):
        is_upkeep = path == "/-/machine-upkeep"
        if TROUBLE and is_upkeep and self.away_from is None:
            self.away_from = self.record.now()
            self.record.add("provider-away", for_s=AWAY_S)
        away_s = None if self.away_from is None else self.record.now() - self.away_from
        if away_s is None or away_s >= AWAY_S:
            return await super().handle_cloud(method, path, query, headers, body)
        if is_upkeep and away_s < UNDER_WAY_S:
            status, _ = await super().handle_cloud(method, path, query, headers, body)
            self.record.add("unanswered", machine=json.loads(body)["machine"], carried_out=status)
        raise fp.Abort


async def submit(world, accepted):
    name = fp.job_id()
    step = {"count": 6, "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": 800}
    body = {"spec": json.dumps({"ms": random.randint(600, 1000), "cpu": TASK_CPU}), "steps": [step]}
    for _ in range(5):
        front = random.choice(list(NAMES))
        status, _ = await fp.call(world.front(front), "POST", f"/bench/{name}", HEADERS, body)
        world.record.add("submit", job=name, front=front, status=status)
        if status == 200:
            accepted.add(name)
            return
        await asyncio.sleep(0.5)


async def main():
    record = fp.Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        folder = os.environ.get("KEEP", folder)
        with open(os.path.join(ROOT, "deploy", "settings.ini.in"), encoding="utf-8") as file:
            world = Provider(record, folder, file.read())
        accepted, stuck, is_completed = set(), [], False
        try:
            await world.start()
            zones = list(NAMES.values())
            machines = [f"m-{i:04d}" for i in range(MACHINES)]
            for i, machine in enumerate(machines):
                await world.add_machine(machine, "bench", zones[i % 3], CORES, ("a", f"r1-{i}"))
            none = {"cpu": 0, "mem_mb": 0, "gpu": 0}
            tenants = [{"name": "tenant-1", "api_keys": [KEY], "weight": 1.0, "maximum": none}]
            services = [{"name": "bench", "admission_check": True}]
            world.store.put("op", "config", fp.config(7, [fp.route("r-bench", "bench", "/bench/")], tenants, services))
            for name, zone in NAMES.items():
                await world.spawn(PROGRAM, name, zone)
            for name in NAMES:
                if not await world.wait_ready(name):
                    record.add("not-ready", name=name)
                    return 2
            await asyncio.sleep(1)
            world.announce_wave(1, machines, MACHINES, 26)
            until = record.now() + 40
            while record.now() < until and not is_completed:
                await asyncio.sleep(0.1)
                state = world.store.value("status", "wave/1")
                is_completed = state is not None and state["state"] == "completed"
            record.add("wave-state", state=world.store.value("status", "wave/1"))
            # All machines are back and in touch for contact_ms before the first job comes.
            await asyncio.sleep(5)
            for _ in range(JOBS):
                await submit(world, accepted)
            await asyncio.sleep(FINISH_S - STUCK_S)
            idle, peak = set(accepted), 0
            until = record.now() + STUCK_S
            while record.now() < until:
                runs = [run for worker in world.workers.values() for run in worker.runs.values()]
                peak = max(peak, sum(run.cpu for run in runs))
                idle -= {run.task.split(".")[0] for run in runs}
                await asyncio.sleep(0.05)
            up = [name for name, machine in world.machines.items() if machine["state"] == "up"]
            record.add("machines-up", machines=",".join(up))
            for name in sorted(accepted):
                done = sum((name, 0, index) in world.done for index in range(6))
                record.add("job", job=name, tasks_done=done, of=6)
                room = len(up) * CORES * 1000
                if done < 6 and name in idle and peak * 2 < room and room >= 2 * TASK_CPU:
                    stuck.append(name)
                    world.broken("LOST", job=name, tasks_done=done, of=6, nothing_ran_for_s=STUCK_S, peak_cpu=peak)
        finally:
            await world.end()
        record.add("result", accepted=len(accepted), stuck=len(stuck))
        if not accepted or not is_completed:
            print(f"{len(accepted)} jobs accepted, wave completed: {is_completed}")
            return 2
        print(f"{len(accepted)} jobs accepted, {len(stuck)} of them stuck")
        return 1 if stuck else 0


fp.run_case(main)
