"""A minion refuses all starts for 6.5 s. Are the jobs that have not begun still counted as pending?"""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins3 as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GREY_S = 6.5
VISIBLE_S, STALE_S = 3.0, 2.0
JOBS = 4
GATEWAYS = (11, 12)
SIDES = tuple(range(21, 32))
WHOLE = {"cpu": 32000, "mem_mb": 65536, "gpu": 8}


class GreyMinion(s.Minion):
    """A minion that answers starts with 503, and does nothing, while its health check is good."""

    grey_until = 0.0

    def _start(self, body):
        if time.monotonic() < self.grey_until:
            return 503, {}
        return super()._start(body)


def main():
    record = s.Record(os.path.join(FOLDER, "record.txt"))
    deployment = s.Deployment(record)
    try:
        store = deployment.add_store()
        store.put("op/config", s.configuration(1))
        minions = [GreyMinion("m%d" % n, deployment.app(n), deployment.control(n), record) for n in SIDES]
        for number in GATEWAYS:
            deployment.start("gateway", number)
        for number in SIDES:
            deployment.start("sidecar", number)
        if not s.wait_for(lambda: s.all_ready(deployment, GATEWAYS), 20) or \
                not s.can_run(deployment, record, GATEWAYS[0]):
            record("the deployment does not run jobs")
            return 2

        def submit(body):
            ident = s.new_id()
            answer = s.request(record, deployment.front(GATEWAYS[0]), "POST", "/batch/" + ident, body)
            return ident if answer and answer[0] == 200 else None

        def begun(ident):
            return any(start[2].startswith(ident + ".") for m in minions for start in m.starts)

        # All minions but one are full for the whole case.
        s.wait_for(lambda: False, 3)
        ordinary = submit({"spec": "110000", "steps": [dict(WHOLE, count=len(SIDES) - 1, est_ms=110000)]})
        if not ordinary or not s.wait_for(
                lambda: sum(len(m.running) for m in minions) == len(SIDES) - 1, 8):
            return 2
        free = [m for m in minions if not m.running]
        if TROUBLE:
            record("%s refuses all starts from now on" % free[0].id)
            free[0].grey_until = time.monotonic() + GREY_S
        accepted = {}
        for _ in range(JOBS):
            ident = submit({"spec": "5000", "steps": [{"count": 1, "cpu": 8000, "mem_mb": 16384, "gpu": 2, "est_ms": 5000}]})
            if ident is None:
                return 2
            accepted[ident] = time.monotonic()
        broken = 0
        end = time.monotonic() + 20
        while time.monotonic() < end:
            for gateway in GATEWAYS:
                answer = s.request(record, deployment.front(gateway), "GET", "/batch/")
                waiting = [i for i, at in accepted.items()
                           if time.monotonic() - at > VISIBLE_S + STALE_S and not begun(i)]
                if answer and answer[0] == 200 and len(waiting) >= 2 and answer[1]["pending"] < len(waiting) / 2:
                    broken += 1
                    record("MIXED is broken: pending is %d, but %d jobs have not begun: %s" %
                           (answer[1]["pending"], len(waiting), waiting))
            time.sleep(0.5)
        record("%d wrong answers" % broken)
        return 1 if broken else 0
    finally:
        deployment.close()


if __name__ == "__main__":
    s.run(main)
