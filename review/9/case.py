# SPDX-License-Identifier: Apache-2.0
"""The operator sends a queue to another service while a job of it runs, and then the minion of the
old service leaves. The job is kept, and nothing of it is ever started again."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stage3

CALM_S = 4.0      # The rule wants the 4 s before the 3 s calm.
WATCHED_S = 25.0  # Much longer than the rule's 3 s.
DRAIN_S = 2.0     # drain_timeout_ms of the settings.


async def scenario(stage):
    def job(work_s):
        return [{"count": 2, "cpu": 4000, "mem_mb": 4000, "estimated_ms": int(work_s * 1000), "work_s": work_s},
                {"count": 2, "cpu": 4000, "mem_mb": 4000, "estimated_ms": 2000, "work_s": 2.0, "after_revision": [0]}]
    await asyncio.sleep(1)
    status, old = await stage.submit("f1", job(6.0))
    if status != 200:
        raise stage3.CannotRun("the job was not accepted")
    await stage.until("the job runs", lambda: stage.where(old), 10)
    await asyncio.sleep(1)
    if stage3.TROUBLE:
        stage.configure(9, "pool2", ("pool", "pool2"))
        await asyncio.sleep(3)
        stage.minions[0].drain(DRAIN_S)
        await asyncio.sleep(DRAIN_S)
    begun, last_run, state = time.monotonic(), time.monotonic(), ""
    newer, newer_state = None, ""
    while time.monotonic() < begun + CALM_S + WATCHED_S and state != "completed":
        await asyncio.sleep(0.1)
        if stage.where(old):
            last_run = time.monotonic()
        now = await stage.state(stage.names[int(time.monotonic()) % 3], old)
        if now != state:
            stage.record("client: GET of %s shows %s" % (old, now))
        state = now
        if not newer and time.monotonic() > begun + CALM_S:
            _, newer = await stage.submit("f2", job(1.0))
        elif newer and newer_state != "completed":
            newer_state = await stage.state("f2", newer)
    if state == "completed":
        return
    stage.record("a job handed in later at the same queue: %s" % newer_state)
    waited = time.monotonic() - max(last_run, begun + CALM_S)
    if state not in ("queued", "running"):
        stage.break_rule("an accepted job that nobody cancelled is shown as " + state)
    elif waited >= 3 and newer_state == "completed":
        stage.break_rule("a task's turn has come, 15 minions of the queue's service are free, and nothing of "
                         "the job has run for %.0f calm seconds; it is shown as %s" % (waited, state))


stage3.main(FOLDER, scenario, processes=3, minions=16, service_of=lambda i: "pool" if i == 0 else "pool2")
