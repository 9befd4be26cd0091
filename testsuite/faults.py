# SPDX-License-Identifier: Apache-2.0
"""Seeded random faults over the demo's processes, ending in the auditor's table.

The same seed always gives the same plan of faults. Load runs all the while: jobs of all kinds,
requests, cancels, and racing operators.
"""
import argparse
import json
import os
import random
import shutil
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cell import Cell, KITAMI, OLANO, now_ms

FAULTS = ["kill-entry", "freeze-entry", "kill-worker", "freeze-worker", "store-outage",
          "store-slow", "store-loses-answers", "fail-starts", "worker-loses-answers",
          "upstream-truncates", "upstream-leaves", "planned-stop", "cancel-wave", "kill-upstream",
          "cut-entry-from-store"]


def make_plan(seed, seconds, entries, workers, upstreams, only=None):
    """The faults as (at, kind, target, duration, amount), in order of time."""
    rng = random.Random(seed)
    kinds = only or FAULTS
    plan, at = [], 1.0
    while at < seconds - 1:
        kind = rng.choice(kinds)
        target = rng.choice({"worker": workers, "upstre": upstreams}.get(
            "worker" if "worker" in kind or kind == "fail-starts" else kind[:6], entries))
        plan.append((round(at, 2), kind, target, round(rng.uniform(0.5, 6.0), 2), rng.randint(1, 4)))
        at += rng.expovariate(1 / 1.5)
    return plan


class Load:
    """Callers and operators, until `stop`."""

    def __init__(self, cell, seed):
        self.cell, self.rng = cell, random.Random(seed * 7919)
        self.jobs, self.lock, self.over = [], threading.Lock(), threading.Event()
        self.services = []
        self.threads = [threading.Thread(target=t, daemon=True) for t in
                        (self.submit, self.request, self.request, self.configure, self.observe)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()

    def guarded(self, action):
        try:
            action()
        except (IndexError, OSError, ValueError, KeyError):
            time.sleep(0.05)

    def submit(self):
        rng = random.Random(self.rng.random())
        number = 0
        while not self.over.is_set():
            number += 1
            kind = rng.choices(["batch", "gang", "service"], [12, 2, 1])[0]
            once = kind == "batch" and rng.random() < 0.3
            job = {"id": "job-%d" % number, "partner": rng.choice(["olano", "kitami"]), "kind": kind,
                   "class": rng.choice(["urgent", "quick", "batch"]),
                   "count": rng.choice([1, 1, 2, 3, 5]), "milli_cores": rng.choice([250, 500, 1000, 2000, 4000]),
                   "memory_mb": rng.choice([128, 512, 2048, 6000]), "max_tries": 20,
                   "run_time_ms": 300, "repeatable": not once,
                   "labels": {"actual_run_ms": str(rng.choice([20, 200, 500, 1500, 4000]))}}
            if rng.random() < 0.15:
                job["labels"]["actual_memory_mb"] = str(job["memory_mb"] * 3)

            def act():
                record = self.cell.submit(job)
                if record["outcome"] == "accepted":
                    with self.lock:
                        self.jobs.append(job["id"])
                        if kind == "service":
                            self.services.append(job["id"])
            self.guarded(act)
            self.over.wait(rng.expovariate(8))

    def request(self):
        rng = random.Random(self.rng.random())
        number = 0
        while not self.over.is_set():
            number += 1
            repeatable = rng.random() < 0.5
            path = "/catalogue/look" if repeatable else "/registry/check"
            name = "r-%d-%d" % (threading.get_ident() % 100000, number)
            body = "x" * rng.choice([10, 5000]) if rng.random() < 0.3 else None
            self.guarded(lambda: self.cell.request(path, name, repeatable=repeatable, body=body,
                                                   bytes_wanted=rng.choice([10, 300, 40000]),
                                                   work_ms=rng.choice([1, 10, 100])))
            self.over.wait(rng.expovariate(20))

    def configure(self):
        rng = random.Random(self.rng.random())
        number = 0
        while not self.over.is_set():
            number += 1
            partner, text = rng.choice([("olano", OLANO), ("kitami", KITAMI)])
            self.guarded(lambda: self.cell.apply_config(partner, text + "# change %d\n" % number,
                                                        change="c-%d" % number))
            self.over.wait(rng.expovariate(1))

    def observe(self):
        while not self.over.is_set():
            self.guarded(self.cell.see_config)
            self.over.wait(0.5)

    def cancel_some(self, amount):
        with self.lock:
            chosen = self.jobs[-amount * 5:]
        for job in chosen:
            self.cell.cancel(job)


def carry_out(cell, load, kind, target, duration, amount):
    process = cell.processes[target]
    if kind in ("kill-entry", "kill-worker", "kill-upstream"):
        if not process.alive():
            return
        cell.kill(target)
        time.sleep(duration / 2)
        cell.restart(target)
    elif kind in ("freeze-entry", "freeze-worker"):
        cell.freeze(target)
        time.sleep(duration)
        cell.thaw(target)
    elif kind == "store-outage":
        cell.fault("store", outage=True)
        time.sleep(duration)
        cell.fault("store", outage=False)
    elif kind == "cut-entry-from-store":
        cell.cut_from_store(target, True)
        time.sleep(duration * 2)
        cell.cut_from_store(target, False)
    elif kind == "store-slow":
        cell.fault("store", delay_ms=amount * 100)
        time.sleep(duration)
        cell.fault("store", delay_ms=0)
    elif kind == "store-loses-answers":
        cell.fault("store", lose_answers=amount * 3)
    elif kind == "worker-loses-answers":
        cell.fault(target, lose_answers=amount)
    elif kind == "fail-starts":
        cell.fault(target, fail_starts=True)
        time.sleep(duration)
        cell.fault(target, fail_starts=False)
    elif kind == "upstream-truncates":
        cell.fault(target, truncate=amount)
    elif kind == "upstream-leaves":
        cell.box_state(target, "leaving")
        time.sleep(duration + 4)
        cell.note(type="returned", name=target)
        cell.box_state(target, "live")
    elif kind == "planned-stop":
        if process.alive() and len([e for e in cell.entries if cell.processes[e].alive()]) > 1:
            cell.planned_stop(target)
            cell.restart(target)
    elif kind == "cancel-wave":
        load.cancel_some(amount)


def heal(cell):
    for process in cell.processes.values():
        process.signal(18)  # SIGCONT
        if not process.alive():
            cell.restart(process.name)
    cell.fault("store", outage=False, delay_ms=0, lose_answers=0)
    for name in cell.entries:
        cell.cut_from_store(name, False)
    for name in cell.workers:
        cell.fault(name, fail_starts=False, lose_answers=0)
    for name in cell.upstreams:
        cell.fault(name, truncate=0)


def run(seed, seconds, folder, only=None, verbose=False):
    timing = {"task_lease": "8s", "worker_poll": "500ms", "worker_timeout": "1s"}
    cell = Cell(folder, timing=timing)
    busy = {}
    try:
        cell.start()
        cell.wait_ready()
        cell.apply_config("olano", OLANO)
        cell.apply_config("kitami", KITAMI)
        plan = make_plan(seed, seconds, cell.entries, cell.workers, cell.upstreams, only)
        load = Load(cell, seed)
        load.start()
        began = time.time()
        threads = []
        for at, kind, target, duration, amount in plan:
            time.sleep(max(0, began + at - time.time()))
            key = "store" if kind.startswith("store") else target
            if busy.get(key) and busy[key].is_alive():
                cell.note(type="skipped", kind=kind, name=target)
                continue
            if verbose:
                print("   %6.2f %s %s %s" % (at, kind, target, duration), flush=True)
            thread = threading.Thread(target=lambda a=(kind, target, duration, amount):
                                      load.guarded(lambda: carry_out(cell, load, *a)), daemon=True)
            thread.start()
            busy[key] = thread
            threads.append(thread)
        time.sleep(max(0, began + seconds - time.time()))
        load.stop()
        for thread in threads:
            thread.join()
        heal(cell)
        cell.wait_ready(40)
        for job in load.services:
            cell.cancel(job)
        left = cell.wait_ended(load.jobs, 60)
        code = cell.audit()
        print("seed %d: %d faults planned, %d jobs, %d not ended, %s" % (
            seed, len(plan), len(load.jobs), len(left), "clean" if code == 0 else "BROKEN"), flush=True)
        return code
    finally:
        cell.end()


def main():
    parser = argparse.ArgumentParser(prog="scripts/faults", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--only", help="comma-separated kinds of faults: " + ", ".join(FAULTS))
    parser.add_argument("--keep", action="store_true", help="keep records and logs")
    parser.add_argument("--verbose", action="store_true")
    given = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="valveshelf-faults-%d-" % given.seed)
    code = 1
    try:
        code = run(given.seed, given.seconds, folder, given.only.split(",") if given.only else None,
                   given.verbose)
    finally:
        if given.keep or code:
            print("records and logs: " + folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    return 0 if code == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
