# SPDX-License-Identifier: Apache-2.0
"""Tasks that last and end `done`: however they end, they are to be started again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from cell import main

JOB = "00000000000000a1"
AWAY_S = 6.0 + 3.0  # From the last run of a task until its absence counts.


async def case(cell, trouble):
    entry = cell.entries[0]
    step = {"count": 3, "cpu": 1000, "mem_mb": 512, "estimated_ms": 1000, "long_running": True}
    if await cell.submit(entry, JOB, [step]) != 200:
        raise RuntimeError("not accepted")
    if not await cell.until(lambda: len(cell.starts) == 3, 10):
        raise RuntimeError("not begun")
    await asyncio.sleep(3.0)
    task = JOB + ".0.0.1"
    for worker in cell.workers:
        for run in list(worker.runs.values()):
            if trouble and run.task == task:
                worker.end(run, "done")
                worker.wake.notify()
    for _ in range(15):
        await asyncio.sleep(1.0)
        running = sorted(t for w in cell.workers for t, _ in w.runs)
        cell.record.say("running: %s; the job is %s" % (" ".join(running), await cell.state(entry, JOB)))
    return task in running


main(case, HERE)
