"""Case 6: a caller is told the state of another job, of another tenant."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins2 as s  # noqa: E402

# platform_slow: 83 times 4 ms, for 4.4 s at most.
SLOW_S = 0.332
ROUNDS = 12


async def play(record, deployment, done, running, pause):
    """One round; returns the states that were shown for the running job."""
    leader = deployment.store.leader()
    names = list(deployment.gateways)
    number = next(i for i, name in enumerate(names) if name != leader)
    gateway = deployment.nodes[names[number]]
    deployment.store.delay = SLOW_S
    gateway.signal(signal.SIGKILL)
    # The leader is linked to the new process after 0.25 s; the process has a configuration of its
    # own after 0.1 + 0.33 s, and relays what it is asked until then.
    await asyncio.sleep(pause)
    # A caller of tenant-a asks for its job; the gateway is killed once more while it does.
    asked = asyncio.create_task(deployment.call(number, "GET", "/batch/" + done,
                                                "key-of-tenant-a", None, 1.0))
    await asyncio.sleep(0.02)
    gateway.signal(signal.SIGKILL)
    await asyncio.sleep(0.25)
    # Callers of tenant-b ask for theirs, each of them once.
    calls = []
    for _ in range(10):
        calls.append(asyncio.create_task(deployment.call(number, "GET", "/batch/" + running,
                                                         "key-of-tenant-b")))
        await asyncio.sleep(0.007)
    answers = await asyncio.gather(*calls)
    await asked
    deployment.store.delay = 0.0
    await asyncio.sleep(3.0)
    return [content["state"] for status, content in answers if status == 200 and content]


async def case(record, has_trouble):
    deployment = s.Deployment(record, gateways=3, minions=4)
    for_all = []
    try:
        await deployment.start(s.make_configuration(7, deployment.service))
        for node in deployment.nodes.values():
            node.restart_delay = 0.1
        if not await deployment.until_ready():
            return None
        await asyncio.sleep(2)
        need = {"cpu": 1000, "mem_mb": 256, "gpu": 1}
        jobs = {}
        for key, ms in (("key-of-tenant-a", 300), ("key-of-tenant-b", 100000)):
            spec = '{"ms":%d,"need":{"cpu":1000,"mem_mb":256,"gpu":1}}' % ms
            jobs[key] = s.new_id()
            if not await deployment.submit("/batch/" + jobs[key], key,
                                           {"spec": spec, "steps": [{"count": 1, **need,
                                                                     "est_ms": ms}]}):
                return None
        await asyncio.sleep(2)
        done, running = jobs["key-of-tenant-a"], jobs["key-of-tenant-b"]
        for number in range(ROUNDS):
            if has_trouble:
                pause = (0.36, 0.39, 0.33, 0.42)[number % 4]
                for_all += await play(record, deployment, done, running, pause)
                if "succeeded" in for_all:
                    break
            else:
                for gateway in range(3):
                    _, content = await deployment.call(gateway, "GET", "/batch/" + running,
                                                       "key-of-tenant-b")
                    for_all.append(content["state"] if content else None)
                await asyncio.sleep(1)
        is_running = any(task.startswith(running) for minion in deployment.minions
                         for task, _ in minion.running)
        record("the job of tenant-b still runs:", is_running, "; states shown:", for_all)
        if is_running and "succeeded" in for_all:
            record("MIXED BROKEN: shown as succeeded while its task is running")
            return False
        return True
    finally:
        await deployment.close()


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
