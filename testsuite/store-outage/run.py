# SPDX-License-Identifier: Apache-2.0
"""The store is down while work goes on: what was accepted starts, what can't be kept is refused."""
import os
import time

from scenes import finish, flood, metric, starts_on_workers

SECONDS = float(os.environ.get("VALVESHELF_OUTAGE_SECONDS", "12"))
CELL = {"milli_cores": 2000, "timing": {"task_lease": "20s", "worker_poll": "500ms", "worker_timeout": "1s"}}


def run(cell, say):
    # More than fits at once, so that starts have to go on during the outage.
    jobs = flood(cell, 20, "before", once_every=1000, count=6, run_time_ms=1000,
                 labels={"actual_run_ms": str(int(1000 + 18 * SECONDS * 1000 / 120))})
    once = cell.submit({"id": "once", "partner": "olano", "repeatable": False, "milli_cores": 2000,
                        "class": "batch", "run_time_ms": 100})
    cell.fault("store", outage=True)
    began = time.time()
    cell.wait("all entries know", lambda: all(
        metric(cell, e, "valveshelf_store_up") == 0 for e in cell.entries), 20)
    before = starts_on_workers(cell)
    refused = cell.submit({"id": "new", "partner": "olano"})
    say("a new job: %s %s" % (refused["status"], refused["outcome"]))
    change = cell.apply_config("olano", "[placement]\npack = 1.0\n", entry="e1")
    say("a change of configuration: %s" % str(change)[:3])
    record = cell.request("/registry/check", "in-outage")
    say("a request: %s %s" % (record["status"], record["outcome"]))
    while time.time() - began < SECONDS:
        time.sleep(0.2)
    say("starts went on during the outage: %s" % (starts_on_workers(cell) > before))
    say("every entry may act: %s" % all(metric(cell, e, "valveshelf_may_act") == 1 for e in cell.entries))
    cell.fault("store", outage=False)
    cell.wait_ready(40)
    say("the store is back, every shard is owned")
    finish(cell, jobs + ["once"], say, 60 + SECONDS)
    late = cell.submit({"id": "new-again", "partner": "olano", "run_time_ms": 50})
    say("the refused job, submitted again: " + late["outcome"])
    finish(cell, ["new-again"], say)
