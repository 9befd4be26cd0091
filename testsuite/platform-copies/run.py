# SPDX-License-Identifier: Apache-2.0
"""One worker is slow: the runs of a speculative step there are copied, the copies win, and the
scheduler is killed while two runs of a task exist. With the feature off nothing is copied."""
import json
import time

from cell import call
from platform_cell import configuration, step

PLATFORM = True

SLOW_PERCENT = 800
# Memory limits the tasks to two on each worker, so that the slow one gets some.
TASKS, MEMORY_MB, WORK_MS = 12, 16000, 800
SLOW_RUN_S = WORK_MS / 1000 * SLOW_PERCENT / 100


def run(cell, say):
    def submit():
        steps = [step(TASKS, 1000, MEMORY_MB, WORK_MS, speculative=True)]
        status, job = cell.submit(cell.alive()[0].name, "rebuild", steps)
        assert status == 200, status
        return job

    def completed(job, seconds=30):
        cell.wait("the job is complete", lambda: cell.state(job) == "completed", seconds)

    def in_force(entry):
        return json.loads(call(entry.metrics, "GET", "/v1/overload")[2])["features"]["copies"]

    def copies():
        return cell.verdict()["copies"]

    cell.control({"configuration": dict(configuration(2), overload={"copies": "on"})})
    cell.wait("it is in force", lambda: all(in_force(e) for e in cell.alive()), 10)
    cell.control({"slow_worker": 0, "percent": SLOW_PERCENT})
    began = time.time()
    completed(submit())
    say("slow runs were copied: %s" % (copies() > 0))
    say("complete before the slow runs would have ended: %s" % (time.time() - began < SLOW_RUN_S))

    before, term, victim = copies(), cell.term(), cell.scheduler()
    job = submit()
    cell.wait("two runs of a task exist",
              lambda: copies() > before and cell.verdict()["running_twice"] > 0, 20)
    cell.entries[victim].kill()
    say("two runs existed at the kill: %s" % (cell.verdict()["running_twice"] > 0))
    cell.wait("a new term begins", lambda: cell.term() > term, 10)
    completed(job)
    cell.restart(victim)
    cell.wait_ready()
    cell.wait("nothing runs", lambda: cell.verdict()["running"] == 0, 10)
    say("complete, and nothing runs: True")

    cell.control({"configuration": dict(configuration(3), overload={"copies": "off"})})
    cell.wait("it is in force", lambda: not any(in_force(e) for e in cell.alive()), 10)
    before = copies()
    completed(submit())
    say("copied with the feature off: %d" % (copies() - before))
