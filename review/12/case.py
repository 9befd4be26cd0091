# SPDX-License-Identifier: Apache-2.0
"""A minion is lost for good, and the process that schedules is killed and started again. A weaker
process takes over and hands over to it; each of the two waits for the minion from the beginning."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stage3

KILL_AFTER_S = 4.0    # The minion is lost so long before.
RESTART_S = 1.5
CALM_S = 4.0
MISSED_S = 3.0


async def scenario(stage):
    await asyncio.sleep(4)   # The strongest process schedules by now.
    status, job = await stage.submit("f2", [{"count": 1, "cpu": 4000, "mem_mb": 4000, "work_s": 20.0,
                                             "estimated_ms": 20000}])
    if status != 200:
        raise stage3.CannotRun("the job was not accepted")
    await stage.until("the job runs", lambda: stage.where(job), 10)
    await asyncio.sleep(1)
    over = time.monotonic()
    if stage3.TROUBLE:
        stage.where(job)[0][0].crash(1000)   # It never comes back.
        await asyncio.sleep(KILL_AFTER_S)
        await stage.kill("f1")
        await asyncio.sleep(RESTART_S)
        await stage.start("f1")
        over = time.monotonic()
    stage.record("the last disturbance is over")
    due = over + CALM_S + MISSED_S
    while time.monotonic() < due and not stage.where(job):
        await asyncio.sleep(0.01)
    if not stage.where(job):
        stage.break_rule("a job has had nothing running in the %.0f s after %.0f calm ones, with 7 minions idle; "
                         "it is shown as %s" % (MISSED_S, CALM_S, await stage.state("f2", job)))
        await stage.until("it runs again", lambda: stage.where(job), 20)
        stage.record("it runs again %.2f s after the last disturbance" % (time.monotonic() - over))
    else:
        stage.record("it runs again %.2f s after the last disturbance" % (time.monotonic() - over))
    for name in stage.names:
        for line in stage.log(name).splitlines():
            if " claim-made " in line or " term-ended " in line or " term-begun " in line:
                stage.record("log of %s: %s" % (name, line))


stage3.main(FOLDER, scenario, processes=3, minions=8, powers=(0.5, 0.12, 0.12))
