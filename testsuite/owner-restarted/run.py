# SPDX-License-Identifier: Apache-2.0
"""An owner is killed and restarted at the same address at once, three times."""
from scenes import finish, flood, owner_with_workers

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def run(cell, say):
    jobs = []
    for round_number in range(3):
        jobs += flood(cell, 8, "round-%d" % round_number)
        victim = owner_with_workers(cell)
        cell.kill(victim)
        cell.restart(victim)
        cell.wait_ready(30)
    say("three restarts, each time all shards were owned again")
    finish(cell, jobs, say)
