"""Case 6: one schedule whose times lie in the past stops the scheduling of all jobs."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins2 as s  # noqa: E402

QUARTER_HOUR_MS = 900_000
THREE_YEARS = 3 * 365 * 96


async def case(record, has_trouble):
    deployment = s.Deployment(record, gateways=3, minions=4)
    try:
        await deployment.start(s.make_configuration(7, deployment.service))
        if not await deployment.until_ready():
            return None
        await asyncio.sleep(2)
        step = {"count": 1, "cpu": 1000, "mem_mb": 256, "gpu": 1, "est_ms": 500}
        spec = '{"ms":500,"need":{"cpu":1000,"mem_mb":256,"gpu":1}}'
        # The trouble: the same schedule, but its first time lies three years back.
        first = int(time.time() * 1000) - (THREE_YEARS * QUARTER_HOUR_MS if has_trouble else 0)
        body = {"spec": spec, "steps": [step], "max_runs": THREE_YEARS + 96, "first_ms": first,
                "interval_ms": QUARTER_HOUR_MS}
        is_taken = await deployment.submit("/batch/" + s.new_id(), "key-of-tenant-a", body)
        record("the schedule of tenant-a was", "taken" if is_taken else "not taken")
        await asyncio.sleep(1)
        # Six small jobs of the other tenant, within what is guaranteed to it.
        jobs = {}
        for _ in range(6):
            id = s.new_id()
            if not await deployment.submit("/quick/" + id, "key-of-tenant-b",
                                           {"spec": spec, "steps": [step]}):
                record("a job was not taken", id)
                return None
            jobs[id] = time.monotonic()
        # Without any disruption a job may wait for 3 s at most while room is free; finish_s is 14.
        idle = 0.0
        end = time.monotonic() + 20
        while time.monotonic() < end:
            running = sum(len(minion.running) for minion in deployment.minions)
            idle += 0.1 if running <= 16 else 0.0
            await asyncio.sleep(0.1)
        record(f"of 20 s, less than half of the capacity (16 of 32 gpu) was in use for {idle:.1f} s")
        held = True
        for id, taken_at in jobs.items():
            status, state = await deployment.call(1, "GET", "/quick/" + id, "key-of-tenant-b")
            starts = [at for minion in deployment.minions for at, task, _ in minion.starts
                      if task.startswith(id)]
            waited = (min(starts) - taken_at) if starts else None
            record("job", id, f"started after {waited:.3f} s" if starts else "never started",
                   status, state)
            held = held and waited is not None and waited < 3 and status == 200
        return held or idle < 3
    finally:
        await deployment.close()


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
