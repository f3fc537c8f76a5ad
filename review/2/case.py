"""A client leaves before its answer and cancels the job; a gateway that was frozen takes it later."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import standins as s  # noqa: E402

CANCEL_MS = 3000  # bound of ramfc-pierbank
STOP_MS = 400  # bound of ramfc-pierbank
FREEZE_S = 3.5  # node_freeze in the site file of ramfc-pierbank
LEAVE_S = 0.125  # give_up: half of the objective of advance-quote, which is 250 ms
TASK_MS = 2500  # advance-quote: work of 2.5 s


def job():
    return {"spec": str(TASK_MS),
            "steps": [{"count": 1, "cpu": 15000, "mem_mb": 39000, "gpu": 1, "est_ms": TASK_MS}]}


async def client(record, gateway, method, path, body=None, timeout=3.0):
    headers = dict(s.CLIENT)
    headers["X-Pierbank-Deadline"] = "3000"
    record("client: %s %s to %s" % (method, path, gateway[0]))
    status, answer = await s.call(gateway[1], method, path, body, headers, timeout)
    at = record("client: %s %s: %s %s" % (method, path, status or "no answer", answer or ""))
    return status, answer, at


async def case(record, deployments):
    store = await s.Store().listen()
    store.put("op/config", s.CONFIGURATION)
    deployment = s.Deployment(store)
    deployments.append(deployment)
    gateways = [(n, deployment.add("gateway", n)["front"]) for n in ("edge-1", "edge-2", "edge-3")]
    minions = []
    for number in (1, 2):
        minion = s.Minion(record, "w%d" % number, "r1", "")
        await minion.start()
        listen = deployment.add("sidecar", "side-%d" % number, minion.address)
        minion.control = listen["control"]
        minion.live()
        minions.append(minion)

    # A quiet beginning: a job is taken and runs.
    first = "/quote/00000000000000a1"

    async def taken():
        return (await client(record, gateways[0], "POST", first, job()))[0] == 200

    async def done():
        status, answer, _ = await client(record, gateways[1], "GET", first)
        return status == 200 and answer == {"state": "succeeded"}

    if not await s.until(taken, 20) or not await s.until(done, 20):
        raise RuntimeError("the deployment does not serve")
    await asyncio.sleep(4)

    leader = deployment.leader()
    record("platform: the leader is %s" % leader)
    followers = [g for g in gateways if g[0] != leader]
    slow, other = followers[0], followers[1]
    if s.TROUBLE:
        deployment.signal(slow[0], signal.SIGSTOP)
        record("platform: %s freezes" % slow[0])
        thaw = asyncio.get_event_loop().time() + FREEZE_S
    path = "/quote/00000000000000b2"
    await client(record, slow, "POST", path, job(), LEAVE_S)
    status, _, cancelled = await client(record, other, "DELETE", path)
    if status not in (200, 410):
        raise RuntimeError("the cancelling has no acknowledgement")
    if s.TROUBLE:
        await asyncio.sleep(max(0, thaw - asyncio.get_event_loop().time()))
        deployment.signal(slow[0], signal.SIGCONT)
        record("platform: %s wakes" % slow[0])
    await asyncio.sleep(8)
    await client(record, other, "GET", path)

    broken = False
    for minion in minions:
        for at, task, run in minion.starts:
            if task.startswith("00000000000000b2.") and at > cancelled + CANCEL_MS:
                broken = True
                record("UNASKED: task %s run %d starts %.0f ms after the cancelling was acknowledged;"
                       " cancel_ms is %d" % (task, run, at - cancelled, CANCEL_MS))
    if deployment.ended():
        raise RuntimeError("ended by itself: %s" % deployment.ended())
    return broken


sys.exit(s.main(case, FOLDER))
