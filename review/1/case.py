"""Two runs of a task fail; the leader dies; its successor counts one of the two ends again.

SLOW=1 widens the window: the store answers slowly, the two runs fail 150 ms apart, and the leader
is killed 100 ms after its write. STOP=1 stops the leader with SIGTERM instead of killing it.
"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import standins as s  # noqa: E402

ATTEMPTS = 3  # of the queue, as in the site file
TASK_MS = 8000  # the longest work of advance-quote
EST_MS = 800  # est_off of advance-quote is 0.9: a guess may be a tenth of the truth
SLOW = os.environ.get("SLOW") == "1"
SLOW_S = 0.24  # platform_slow, x = 60 in the site file: 60 times 4 ms
GAP_S = float(os.environ.get("GAP", 0.15 if SLOW else 0.002))  # between the two failures
KILL_S = 0.1 if SLOW else 0.0  # from the leader's write to its end
SIGNAL = signal.SIGTERM if os.environ.get("STOP") == "1" else signal.SIGKILL
JOB = "00000000000000c3"
TASK = JOB + ".0.0.0"


async def case(record, deployments):
    store = await s.Store().listen()
    store.put("op/config", s.CONFIGURATION)
    deployment = s.Deployment(store)
    deployments.append(deployment)
    gateways = {n: deployment.add("gateway", n)["front"] for n in ("edge-1", "edge-2", "edge-3")}
    minions = []
    for number in (1, 2, 3):
        minion = await s.Minion(record, "w%d" % number, "r1", "").start()
        listen = deployment.add("sidecar", "side-%d" % number, minion.address)
        minion.control = listen["control"]
        minion.live()
        minions.append(minion)
    if not await s.until(deployment.leader, 20):
        raise RuntimeError("no gateway leads")
    await asyncio.sleep(4)
    leader = deployment.leader()
    front = next(address for name, address in gateways.items() if name != leader)
    record("platform: the leader is %s" % leader)

    job = {"spec": str(TASK_MS),
           "steps": [{"count": 1, "cpu": 15000, "mem_mb": 39000, "gpu": 1, "est_ms": EST_MS,
                      "speculative": True}]}
    status, _ = await s.call(front, "POST", "/quote/" + JOB, job, s.CLIENT)
    record("client: POST /quote/%s: %s" % (JOB, status))
    if status != 200:
        raise RuntimeError("the job was not taken")

    def minion_of(run):
        return next((m for m in minions if TASK in m.running and m.running[TASK]["run"] == run), None)

    if not await s.until(lambda: minion_of(1) and minion_of(2), 15):
        raise RuntimeError("no copy was started")
    await asyncio.sleep(1)

    killed = []

    def kill():
        deployment.signal(leader, SIGNAL)
        record("platform: %s, which last wrote under a condition, gets %s" % (leader, SIGNAL.name))

    def written(data):
        if not killed and any(row["key"] == "run/" + JOB for row in data.get("put") or []):
            record("store: %s writes run/%s" % (leader, JOB))
            killed.append(True)
            if KILL_S:
                asyncio.get_event_loop().call_later(KILL_S, kill)
            else:
                kill()

    if SLOW:
        store.answer_later_s = SLOW_S
        record("platform: the store's answers take %d ms" % (SLOW_S * 1000))
    if s.TROUBLE:
        store.on_transaction = written
    copy, first = minion_of(2), minion_of(1)
    copy.end(TASK, "failed")
    await asyncio.sleep(GAP_S)
    first.end(TASK, "failed")
    if SLOW:
        await asyncio.sleep(1)
        store.answer_later_s = 0

    async def state():
        _, answer = await s.call(front, "GET", "/quote/" + JOB, None, s.CLIENT)
        return (answer or {}).get("state")

    async def is_over():
        return await state() in ("failed", "succeeded")

    await s.until(is_over, 25)
    shown = await state()
    failed = sum(minion.failed.count(TASK) for minion in minions)
    record("client: GET /quote/%s: %s; ends `failed` on all minions: %d of %d attempts"
           % (JOB, shown, failed, ATTEMPTS))
    own = [name for name, _ in deployment.ended() if not (s.TROUBLE and name == leader)]
    if own:
        raise RuntimeError("ended by itself: %s" % deployment.ended())
    broken = shown == "failed" and failed < ATTEMPTS
    if broken:
        record("LOST: the job is shown as failed without cause")
    return broken


sys.exit(s.main(case, FOLDER))
