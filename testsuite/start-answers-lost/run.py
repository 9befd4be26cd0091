# SPDX-License-Identifier: Apache-2.0
"""Workers take starts and their answers are lost; tasks not to be repeated run at most once."""
from scenes import finish, flood

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def run(cell, say):
    jobs = []
    for round_number in range(4):
        for worker in cell.workers:
            cell.fault(worker, lose_answers=1)
        jobs += flood(cell, 6, "round-%d" % round_number, once_every=2)
    finish(cell, jobs, say, 90)
