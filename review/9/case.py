"""Over 500 tasks of one minion end while the platform's store is down for 4.5 s. Do any run twice?"""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins3 as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OUTAGE_S = 4.5
JOBS, WIDTH = 13, 50
TASK_MS = 5000
GATEWAYS = (11, 12)
SIDES = (21, 22)


class LargeMinion(s.Minion):
    """A minion of the sheet: 128 cores, 256 GB, 8 GPUs. Notes when `last_seen` reaches each end."""

    def __init__(self, *args, **options):
        self.noted = {}  # (task, run) -> time, for ends `done`
        self.lapsed = False
        super().__init__(*args, capacity={"cpu": 128000, "mem_mb": 262144, "gpu": 8}, **options)

    def _end(self, task, how):
        self.lapsed = self.lapsed or how == "lapsed"
        super()._end(task, how)

    def _hold(self, body):
        for number, task, run, how, _ in self.ended:
            if number <= body.get("last_seen", 0) and how == "done":
                self.noted[task, run] = s.now()
        return super()._hold(body)


def main():
    record = s.Record(os.path.join(FOLDER, "record.txt"))
    deployment = s.Deployment(record)
    try:
        store = deployment.add_store()
        store.put("op/config", s.configuration(1))
        minions = [LargeMinion("m%d" % n, deployment.app(n), deployment.control(n), record) for n in SIDES]
        for number in GATEWAYS:
            deployment.start("gateway", number)
        for number in SIDES:
            deployment.start("sidecar", number)
        if not s.wait_for(lambda: s.all_ready(deployment, GATEWAYS), 20) or \
                not s.can_run(deployment, record, GATEWAYS[0]):
            record("the deployment does not run jobs")
            return 2
        jobs = []
        for _ in range(JOBS):
            ident = s.new_id()
            answer = s.request(record, deployment.front(GATEWAYS[0]), "POST", "/batch/" + ident, {
                "spec": str(TASK_MS),
                "steps": [{"count": WIDTH, "cpu": 180, "mem_mb": 256, "est_ms": TASK_MS}]})
            if not answer or answer[0] != 200:
                return 2
            jobs.append(ident)
        if not s.wait_for(lambda: sum(len(m.running) for m in minions) == JOBS * WIDTH, 4):
            record("not all tasks run: %s" % [len(m.running) for m in minions])
            return 2
        record("running: %s" % [len(m.running) for m in minions])
        first = min(start[0] for m in minions for start in m.starts if start[2].split(".")[0] in jobs)
        time.sleep(max(0.0, first + TASK_MS / 1000 - 0.3 - s.now()))
        if TROUBLE:
            store.down()
            record("the store is down")
            time.sleep(OUTAGE_S)
            store.up()
            record("the store is back")
        time.sleep(20)
        starts = {}
        for minion in minions:
            for time_s, name, task, run, _ in minion.starts:
                starts.setdefault(task, []).append((time_s, run, name))
        noted = {}
        for minion in minions:
            for (task, run), at in minion.noted.items():
                noted.setdefault(task, []).append(run)
        ended = {}
        for minion in minions:
            for at, task, run in minion.done:
                ended.setdefault(task, []).append((at, run))
        broken = 0
        for task, runs in sorted(starts.items()):
            for at, run, name in runs:
                earlier = [(e, r) for e, r in ended.get(task, []) if e < at and r in noted.get(task, [])]
                if earlier and not any(m.lapsed for m in minions):
                    broken += 1
                    record("TWICE is broken: %s run %d starts on %s at %.3f, but run %d has ended done at %.3f, "
                           "and that end was taken note of" % (task, run, name, at, earlier[0][1], earlier[0][0]))
        record("%d tasks were started again after they had ended done; leases lapsed: %s" %
               (broken, any(m.lapsed for m in minions)))
        return 1 if broken else 0
    finally:
        deployment.close()


if __name__ == "__main__":
    s.run(main)
