# SPDX-License-Identifier: Apache-2.0
"""A sound task whose worker crashes three times. Only ends `failed` count as attempts."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from cell import main

JOB = "00000000000000a1"
STEP = {"count": 1, "cpu": 4000, "mem_mb": 1024, "estimated_ms": 20000, "checkpointing": True, "work_s": 20}
CRASHES = 3
DOWN_S = 4.0


async def case(cell, trouble):
    entry = cell.entries[0]
    status = await cell.submit(entry, JOB, [STEP])
    if status != 200:
        raise RuntimeError("not accepted")
    for _ in range(CRASHES if trouble else 0):
        if not await cell.until(lambda: cell.where(JOB), 20):
            break
        await asyncio.sleep(2.0)
        for worker in cell.where(JOB):
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.begin_life()
        cell.record.say("the job is %s" % await cell.state(entry, JOB))
    for _ in range(70):
        state = await cell.state(entry, JOB)
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(1.0)
    failed = [end for end in cell.ends if end[2] == "failed"]
    cell.record.say("the job is shown as %s; ends `failed`: %d" % (state, len(failed)))
    return state == "completed"


main(case, HERE)
