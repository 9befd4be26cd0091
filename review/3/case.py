# SPDX-License-Identifier: Apache-2.0
"""A scheduler that is cut off together with one worker goes on as if it were the only one."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from cell import run_case

JOB = "5c0e7a21d94b36f8"
WORK_MS = 14000
CUT_S = 9.0


async def scenario(cell, trouble):
    await cell.until("a scheduler is there", lambda: cell.scheduler()[1], 15)
    old = cell.scheduler()[1]
    other = next(name for name in cell.entries if name != old)
    spec = '{"work_ms":%d}' % WORK_MS
    await cell.submit(old, JOB, {"spec": spec, "steps": [{"count": 1, "cpu": 4000, "mem_mb": 4096,
                                                          "estimated_ms": WORK_MS}]})
    worker = await cell.until("the task runs", lambda: next((w for w in cell.pool.workers if w.runs), None), 5)
    await asyncio.sleep(0.5)
    if trouble:
        # One partition: the scheduler and the worker on one side, the store and all others on the
        # other.
        cell.record.say("DISTURBANCE: %s and %s are cut off from the store and all others" % (old, worker.name))
        cell.store.cut.add(old)
        worker.store_cut_at = time.monotonic()
        for each in cell.pool.workers:
            each.cut.update([other, "e3"] if each is worker else [old])
    # The other machine is removed for good, and a new one comes a second later at another address.
    cell.entries.pop(other).kill()
    await asyncio.sleep(1)
    await cell.add_entry("e3")
    await asyncio.sleep(CUT_S)
    if trouble:
        cell.record.say("DISTURBANCE over")
        cell.store.cut.discard(old)
        for each in cell.pool.workers:
            each.cut.clear()
        worker.store_cut_at = None
        cell.store.put_json("servers/" + worker.id, cell.pool.entry_of(worker))
    await asyncio.sleep(3)
    await cell.state("e3", JOB)
    await cell.until("the job ends", lambda: ended(cell), 45)


async def ended(cell):
    await asyncio.sleep(0.5)
    return await cell.state("e3", JOB) in ("completed", "failed")


sys.exit(run_case(HERE, 4, ["e1", "e2"], scenario))
