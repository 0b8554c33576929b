"""A cancellation that is answered, and a submission without an answer that takes effect later."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))

from standin import TROUBLE, Client, play, start_entries  # noqa: E402

# platform_lost: a share of the writes is done 1 to 6 s later and not answered, for 4.5 s.
SHARE, LENGTH_S = 0.35, 4.5
CONTACT_MS, CANCEL_MS, STOP_GRACE_MS = 3000, 3000, 200
DEADLINE_MS = 1000
JOBS = [f"{number:016x}" for number in range(0xD001, 0xD001 + 24)]
STEPS = [{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 500, "long_running": True}]


def config():
    route = {"name": "queue", "host": "q.example", "prefix": "/queue/", "kind": "non_idempotent",
             "timeout_ms": 3000, "target_duration_ms": 2500, "priority": 0, "service": "svc",
             "attempts": 4, "stretch": 2.0, "public": True}
    return {"version": 3, "routes": [route], "services": [{"name": "svc", "admission_check": True}],
            "tenants": [], "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}


async def scenario(fleet, entries, folder):
    record = fleet.record
    chance = random.Random(54)
    await fleet.store.put("op", "config", config())
    for number in range(4):
        await fleet.add_worker(f"m-{number}", "svc")
    await start_entries(fleet, entries, folder, 3)
    await asyncio.sleep(2)
    client = Client(fleet, "q.example", "/queue/")
    begun = time.monotonic()

    def loses(body):
        if not TROUBLE or time.monotonic() > begun + LENGTH_S or chance.random() >= SHARE:
            return None
        delay_s = chance.uniform(1, 6)
        keys = [f"{put['table']}/{put['key']}" for put in body.get("puts", [])]
        record(f"store: answer to a write of {keys} is lost; done in {delay_s:.1f} s")
        return delay_s

    fleet.store.loses = loses
    cancelled = {}

    async def hand_in_and_cancel(number, job):
        await asyncio.sleep(number * LENGTH_S / len(JOBS) * 0.7)
        await client.submit(entries[number % 3], job, STEPS, DEADLINE_MS)
        # The client leaves; it tries until its cancelling is acknowledged.
        for attempt in range(20):
            status, _ = await client.request(entries[(number + 1 + attempt) % 3], "DELETE", job)
            if status in (200, 204, 410):
                cancelled[job] = (time.monotonic(), status)
                return
            await asyncio.sleep(0.3)

    await asyncio.gather(*(hand_in_and_cancel(number, job) for number, job in enumerate(JOBS)))
    if len(cancelled) < len(JOBS):
        record("not every cancelling was acknowledged")
        return 2
    # The last late write is done 6 s after the end of the disruption; then all is calm.
    calm_at = begun + LENGTH_S + 6
    bound_s = (CONTACT_MS + CANCEL_MS + STOP_GRACE_MS) / 1000
    await asyncio.sleep(calm_at + bound_s + 5 - time.monotonic())
    running = {task.split(".")[0]: worker.id for worker in fleet.workers.values() for task in worker.running}
    broken = []
    for job, (at, status) in cancelled.items():
        if job in running:
            record(f"job {job}: DELETE was answered {status} {time.monotonic() - at:.1f} s ago, and its task runs on {running[job]}")
            for entry in entries:
                await client.request(entry, "GET", job)
            broken.append(job)
    record(f"cancelled jobs whose tasks run {bound_s + 5} s after the last disruption: {broken}")
    return 1 if broken else 0


play(scenario, HERE)
