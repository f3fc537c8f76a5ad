#!/usr/bin/env python3
"""Upper bound of the score that a schedule with full knowledge of arrivals, run times and faults could reach.

  bench/rounds/bound.py TRACE PLAY.json...     TRACE: the program pierbank-trace; PLAY.txt is the log of a report

Every schedule loses the jobs for which no gateway reached the store while their callers retried, and pays the prices
that no schedule changes (machines, memory, calls of the store, connections). All other jobs are assumed to be served in
time, on hosts that never fail, without wasted work, so the bound is higher than any schedule can reach."""
import json
import math
import subprocess
import sys

FIXED = ("machine-seconds", "memory, GB x seconds", "cloud calls", "new connections to servers", "processor seconds")


def bound(trace, report_path):
    report = json.load(open(report_path, encoding="utf-8"))
    log = report_path.removesuffix(".json") + ".txt"
    output = subprocess.run([trace, "--bad", log], capture_output=True, text=True, check=True).stdout
    out_of_reach = sum(" no_gateway_reached_the_store" in line for line in output.splitlines())
    total = report["all"]
    owed = sum(total[name] for name in ("in_aim", "late", "refused", "failed"))
    lost = min(out_of_reach, total["refused"] + total["failed"]) / max(1, owed)
    nines = 1.0 if lost <= 0.001 else min(1.0, -math.log10(lost) / 3)
    earned = 0.0
    for name, weight, value in report["parts"]:
        if name == "nines":
            earned += weight * nines
        elif name == "worst windows":
            # One lost job usually reduces a window to zero; the score is the mean of the two worst windows.
            earned += weight * (1.0 if lost == 0 else max(value, 0.5))
        else:
            earned += weight * (1 - lost)
    fixed = sum(price for name, _, price in report["prices"] if name in FIXED)
    weights = sum(weight for _, weight, _ in report["parts"])
    return report["G"], earned / weights - fixed, out_of_reach


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    rows = [bound(sys.argv[1], path) for path in sys.argv[2:]]
    for path, (worth, most, lost) in zip(sys.argv[2:], rows):
        print(f"{path}: worth {worth:.3f}, at most {most:.3f}, out of reach {lost}")
    count = len(rows)
    print(f"{count} plays: worth {sum(r[0] for r in rows) / count:.3f}, at most {sum(r[1] for r in rows) / count:.3f}, "
          f"jobs out of reach {sum(r[2] for r in rows)}")


main()
