# SPDX-License-Identifier: Apache-2.0
"""An owner is frozen in the middle of placing, and woken after its successor began."""
import time

from scenes import finish, flood, owner_with_workers, owners

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def run(cell, say):
    victim = owner_with_workers(cell)
    jobs = flood(cell, 15, "before")
    cell.freeze(victim)
    jobs += flood(cell, 10, "during")
    others = [e for e in cell.entries if e != victim]
    cell.wait("others own every shard", lambda: set(owners(cell, others[0]).values()) <= set(others)
              and len(owners(cell, others[0])) == cell.shards, 30)
    say("a successor owns the frozen owner's shards")
    jobs += flood(cell, 10, "after")
    cell.thaw(victim)
    cell.wait_ready(30)
    say("the woken owner joined anew")
    finish(cell, jobs, say)
