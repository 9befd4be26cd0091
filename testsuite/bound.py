#!/usr/bin/env python3
# SPDX-License-Identifier: Apache-2.0
"""The most that any scheduler could earn on the days of a deployment file: an upper bound.

    testsuite/bound.py DEPLOYMENT.toml [--draws N]

Each job is drawn from its kind's distributions and served by a cell without limits: work begins when it is
accepted and runs on sound workers. What is left are the times in which nothing can be accepted or shown as
complete: the store is away for all, or all processes are down; and the writes of a slow store, one before a
job is accepted and one before its end is shown. Left out, so that the figure is above what can be had: room and
accelerators, advice, runs that fail, sick and lost workers, cuts of single processes, take-overs, lost answers.
"""
import argparse
import collections
import math
import random
import statistics
import tomllib

CALLER_BUDGET_S = 3.0     # every kind's on the deployments at hand
LATE_UNTIL = 3            # times the objective; later than that earns nothing
WINDOW_S = 2.0            # of the tables by second; the two worst windows count
PROCESS_START_S = 0.12    # from the start of a process to its first answer, measured on these days
STORE_ANSWER_S = 0.004    # of a calm store
RATE_SCALE = 10           # jobs a draw for each job a second; the rarest kind still gets some
AFTER_DAY_S = 18.0        # traffic goes on so long after a closing fault


def lognormal(rng, spec):
    """A draw with the mean and the spread of a distribution, cut at its maximum."""
    sigma = spec.get("spread", 0.0)
    value = rng.lognormvariate(math.log(spec["mean"]) - sigma * sigma / 2, sigma)
    return min(value, spec.get("max", value))


def outages(site, day):
    """Spans in which nothing can be accepted or shown, and those in which the store is slow."""
    away, slow = [], []
    for fault in day.get("faults", []) + day.get("plan", []):
        begin, end = fault["at"], fault["at"] + fault.get("for_s", 5.0)
        how = fault.get("how", "")
        if fault["kind"] == "platform_down" and "nodes" not in how:
            away.append((begin, end))
        elif fault["kind"] == "platform_slow":
            slow.append((begin, end, fault.get("x", 50.0)))
        elif fault["kind"] == "herd_kill" and fault.get("on") == "core":
            away.append((begin, end + PROCESS_START_S))
    closing = day.get("closing")
    if closing:
        begin = day.get("length_s", site["length_s"]) + 0.3
        away.append((begin, begin + closing["down_s"] + PROCESS_START_S))
    return away, slow


def when_up(time, away):
    """The first moment from \\p time on at which the cell and the store are there."""
    for begin, end in sorted(away):
        if begin <= time < end:
            time = end
    return time


def write_time(time, slow):
    return STORE_ANSWER_S * next((x for begin, end, x in slow if begin <= time < end), 1.0)


def earn(kind, sent, rng, away, slow):
    """Owed and earned by one job."""
    jobs = kind["jobs"]
    steps = max(1, round(lognormal(rng, jobs["steps"])))
    chain = sum(lognormal(rng, kind["work_ms"]) for _ in range(steps)) / 1000
    usual = kind["work_ms"]["mean"] * jobs["steps"]["mean"] / 1000
    worth = kind["worth"] * min(4.0, 0.3 + 0.7 * chain / usual)
    accepted = when_up(sent, away)
    accepted += write_time(accepted, slow)
    if accepted > sent + CALLER_BUDGET_S:
        return worth, 0.0
    if jobs.get("lasts"):
        return worth, worth
    shown = when_up(accepted + chain, away)
    shown += write_time(shown, slow)
    objective = jobs["stretch"] * chain + kind["aim_ms"] / 1000
    took = shown - sent
    late = worth * kind["late_worth"] / kind["worth"]
    return worth, worth if took <= objective else late if took <= LATE_UNTIL * objective else 0.0


def bound(site, day, rng, draws):
    """Shares earned: over the day, in the two worst windows, by the worst kind."""
    away, slow = outages(site, day)
    length = site["length_s"] + (AFTER_DAY_S if day.get("closing") else 0)
    owed, got = collections.Counter(), collections.Counter()
    rates = site["traffic"][0]["mix"]
    for kind in site["classes"]:
        for _ in range(round(draws * rates[kind["name"]] * RATE_SCALE)):
            sent = rng.uniform(0, length)
            worth, earned = earn(kind, sent, rng, away, slow)
            for key in ("day", kind["name"], int(sent / WINDOW_S)):
                owed[key] += worth
                got[key] += earned
    share = {key: got[key] / owed[key] for key in owed}
    windows = sorted(share[key] for key in share if isinstance(key, int))
    return share["day"], statistics.mean(windows[:2]), min(share[k["name"]] for k in site["classes"])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("deployment")
    parser.add_argument("--draws", type=int, default=200)
    given = parser.parse_args()
    with open(given.deployment, "rb") as file:
        site = tomllib.load(file)
    goal = site["goal"]
    print("day, whole day, worst windows, worst kind, weighed (before prices)")
    for day in site["day"]:
        whole, window, kind = bound(site, day, random.Random(day["seed"]), given.draws)
        weighed = goal["mean"] * whole + goal["window"] * window + goal["class"] * kind
        print(f"{day['name']:12s} {whole:.3f} {window:.3f} {kind:.3f} {weighed:.3f}")


if __name__ == "__main__":
    main()
