# SPDX-License-Identifier: Apache-2.0
"""The entries of one availability zone are cut from the store, but not from the workers."""
import time

from scenes import finish, flood, owner_with_workers, owners

CELL = {"entries": 4, "timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}


def run(cell, say):
    jobs = flood(cell, 10, "before")
    victim = owner_with_workers(cell)
    partner = {"e1": "e3", "e3": "e1", "e2": "e4", "e4": "e2"}[victim]
    cut = [victim, partner]
    for name in cut:
        cell.cut_from_store(name, True)
    others = [e for e in cell.entries if e not in cut]
    cell.wait("the other zone owns every shard", lambda: set(owners(cell, others[0]).values())
              <= set(others) and len(owners(cell, others[0])) == cell.shards, 60)
    say("the zone that reaches the store took over")
    for number in range(10):
        job = {"id": "during-%d" % number, "partner": "kitami", "run_time_ms": 100}
        if cell.submit(job, entry=others[0])["outcome"] == "accepted":
            jobs.append(job["id"])
    for name in cut:
        cell.cut_from_store(name, False)
    cell.wait_ready(40)
    say("the cut zone is back")
    finish(cell, jobs, say)
