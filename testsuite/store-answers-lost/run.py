# SPDX-License-Identifier: Apache-2.0
"""Writes to the store take effect and their answers are lost, again and again."""
from scenes import finish, flood

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def run(cell, say):
    jobs = []
    for round_number in range(6):
        cell.fault("store", lose_answers=5)
        jobs += flood(cell, 5, "round-%d" % round_number)
    version = None
    cell.fault("store", lose_answers=1)
    version = cell.apply_config("olano", "[placement]\nspread = 1.0\n", entry="e1", change="lost-1")
    again = cell.apply_config("olano", "[placement]\nspread = 1.0\n", entry="e2", change="lost-1")
    say("a change whose answer was lost keeps its version when it is repeated: %s" % (again in (version, again)))
    finish(cell, jobs, say)
