# SPDX-License-Identifier: Apache-2.0
"""The scheduler stands still for longer than its claim holds, and wakes up."""
import signal
import time

from platform_cell import step

PLATFORM = True
CHECK = [step(2, 700, 300, 60)]


def run(cell, say):
    cell.flood(24)
    victim = cell.scheduler()
    cell.entries[victim].signal(signal.SIGSTOP)
    others = [e for e in cell.entries if e != victim]
    for i in range(20):
        cell.submit(others[i % 2], "check", CHECK)
        time.sleep(0.02)
    cell.wait("another schedules", lambda: cell.scheduler() != victim, 10)
    cell.entries[victim].signal(signal.SIGCONT)
    say("the frozen scheduler was replaced and woke up")
    cell.flood(24)
    ended = cell.finish()
    say("all ended: %s" % (list(ended) == ["completed"]))
