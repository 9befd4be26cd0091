# SPDX-License-Identifier: Apache-2.0
"""A scheduled job's task that ended while the scheduler was replaced is run a second time.

The new scheduler reads the ends from the workers some milliseconds after its claim and makes the
rounds of scheduled jobs 50 ms after it. On a busy machine the order may be the other one, so the
disturbance comes up to five times, each with a job of its own, until the rule is broken.
"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from cell import run_case

TAKEOVERS = 5
WORK_MS = 3000
DUE_IN_S = 1.0
KILLED_BEFORE_END_S = 0.3
DOWN_S = 3.5
# TIMED=0 hands the same work in without times, for comparison.
IS_TIMED = os.environ.get("TIMED", "1") != "0"


async def scenario(cell, trouble):
    for number in range(TAKEOVERS):
        await one_takeover(cell, trouble, "91b0447d2e6fa3%02x" % number)
        if cell.pool.breaks:
            return


async def one_takeover(cell, trouble, job):
    await cell.until("a scheduler is there", lambda: cell.scheduler()[1], 15)
    old = cell.scheduler()[1]
    other = next(name for name in cell.entries if name != old)
    body = {"spec": '{"work_ms":%d}' % WORK_MS,
            "steps": [{"count": 1, "cpu": 4000, "mem_mb": 4096, "estimated_ms": WORK_MS}]}
    if IS_TIMED:
        body.update(repetitions=1, first_run_ms=int((time.time() + DUE_IN_S) * 1000), interval_ms=60000)
    await cell.submit(other, job, body)
    await cell.until("the task runs", lambda: any(w.runs for w in cell.pool.workers), 8)
    await asyncio.sleep(WORK_MS / 1000 - KILLED_BEFORE_END_S)
    if trouble:
        cell.record.say("DISTURBANCE: the process that gives the orders is killed")
        cell.entries[old].kill()
        await asyncio.sleep(DOWN_S)
        cell.entries[old].spawn()
        await cell.until("%s is ready again" % old, lambda: cell.is_ready(old), 10)
    await cell.until("the job ends", lambda: ended(cell, other, job), 20)


async def ended(cell, entry, job):
    await asyncio.sleep(0.5)
    return await cell.state(entry, job) in ("completed", "failed")


sys.exit(run_case(HERE, 4, ["e1", "e2"], scenario))
