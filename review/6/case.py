# SPDX-License-Identifier: Apache-2.0
"""A caller whose submission got no answer cancels the job and is told 410. The store carries the
submission out seconds later, and the job runs."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from cell import main

JOB = "00000000000000a1"
STEPS = [{"count": 2, "cpu": 2000, "mem_mb": 512, "estimated_ms": 4000, "work_s": 4.0},
         {"count": 2, "cpu": 2000, "mem_mb": 512, "estimated_ms": 1000, "after_revision": [0], "work_s": 1.0}]
OTHER = {"count": 1, "cpu": 500, "mem_mb": 100, "estimated_ms": 200, "work_s": 0.2}
LATE_S = 5.5
LOST_SHARE = 0.35
CANCEL_S = 3.0   # cancel_ms
CONTACT_S = 3.0  # contact_timeout_ms


async def case(cell, trouble):
    writes = {"all": 0, "lost": 0}
    asked = {"at": None}

    def late_by(path, body):
        if path != "/api/kv-txn":
            return None
        writes["all"] += 1
        is_submission = trouble and JOB.encode() in body
        if not is_submission:
            return None
        writes["lost"] += 1
        cell.record.say("the store does not answer a write of the job, and carries it out %.1f s later" % LATE_S)
        return LATE_S

    async def others():
        for i in range(280):
            await cell.submit(cell.entries[1 + i % 2], "%016x" % (0xb000 + i), [OTHER])
            await asyncio.sleep(0.05)

    traffic = asyncio.ensure_future(others())
    await asyncio.sleep(1.0)
    cell.store.late_by = late_by
    status = await cell.submit(cell.entries[0], JOB, STEPS)
    status, _ = await cell.call(cell.entries[1], "DELETE", "/work/" + JOB)
    acked_at = cell.record.now()
    cell.store.late_by = lambda path, body: None
    cell.record.say("the cancelling is answered with %d; of %d writes meanwhile %d got no answer" % (
        status, writes["all"], writes["lost"]))
    await asyncio.sleep(13.0)
    state = await cell.state(cell.entries[1], JOB)
    await traffic
    # By then the last late write is over for so long that the core is stable by any reading.
    stable_at = acked_at + LATE_S + CONTACT_S
    starts = [s for s in cell.starts if s[0].startswith(JOB) and s[3] > max(acked_at + CANCEL_S, stable_at)]
    for task, run, worker, at in starts:
        cell.record.say("run %s/%d began at %.3f s, %.1f s after the cancelling was answered" % (
            task, run, at, at - acked_at))
    if status not in (200, 410):
        raise RuntimeError("the cancelling got %d" % status)
    return not starts


main(case, HERE)
