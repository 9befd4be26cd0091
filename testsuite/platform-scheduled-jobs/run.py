# SPDX-License-Identifier: Apache-2.0
"""The scheduler is killed while rounds of scheduled jobs run: shortly before some end, while others
go on, with steps after others, gangs and a round that becomes due meanwhile. No task of a round is
started again, and none is stopped as if its job had ended."""
import time

from platform_cell import step

PLATFORM = True
TAKEOVERS = 4
DUE_IN_S = 0.6
LONG_MS = 2600
# Of the short runs: they end while no scheduler is there or just as its successor loads.
SHORT_MS = (700, 900, 1100)
KILLED_AFTER_S = 0.5
INTERVAL_MS = 3000


def submit(cell, steps, first_run_ms, rounds):
    names = [entry.name for entry in cell.alive()]
    status, job = cell.submit(names[0], "scan", steps, repetitions=rounds, first_run_ms=first_run_ms,
                              interval_ms=INTERVAL_MS)
    if status != 200:
        raise RuntimeError("a scheduled job got %s" % status)
    return job


def run(cell, say):
    for _ in range(TAKEOVERS):
        due = time.time() + DUE_IN_S
        at = int(due * 1000)
        for work_ms in SHORT_MS:
            submit(cell, [step(2, 800, 400, work_ms)], at, 1)
        submit(cell, [step(2, 800, 400, LONG_MS, saves=True), step(1, 500, 200, 100, after=[0])], at, 2)
        submit(cell, [step(2, 800, 400, LONG_MS, gang=True)], at, 1)
        time.sleep(max(0.0, due + KILLED_AFTER_S - time.time()))
        victim, term = cell.scheduler(), cell.term()
        cell.entries[victim].kill()
        cell.wait("a new term begins", lambda: cell.term() > term, 10)
        cell.restart(victim)
        cell.wait_ready()
        ended = cell.finish()
        if list(ended) != ["completed"]:
            say("ended: %s" % ended)
    say("all ended: True")
    stopped = sum(open(entry.log, errors="replace").read().count('why="its job has ended"')
                  for entry in cell.entries.values())
    say("runs stopped as if their job had ended: %d" % stopped)
