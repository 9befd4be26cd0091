# SPDX-License-Identifier: Apache-2.0
"""Runs of long-running tasks end done, failed and in each way, at once and after a while, singly and
as a gang, also while the scheduler is killed: the tasks are started again within the rule's time and
at a bounded pace, and their jobs go on until they are cancelled."""
import time

from platform_cell import ENDS_DONE, ENDS_FAILED, ENDS_IN_EACH_WAY, lasting

PLATFORM = True
AWAY_MS = 3000   # Operators allow a task to be away for this time,
TAKEOVER_MS = 9000  # and from its last run around a disturbance.
WATCH_S = 12.0


def watch(cell, jobs, most_ms, seconds):
    """Whether no task of the jobs is away for longer."""
    limit, held = time.time() + seconds, True
    while time.time() < limit:
        away = cell.verdict()["lasting_away_ms"]
        held = held and all(away.get(job, most_ms + 1) <= most_ms for job in jobs)
        time.sleep(0.1)
    return held


def run(cell, say):
    kinds = {
        "ends done at once": lasting(1, ENDS_DONE, 5),
        "ends failed at once": lasting(1, ENDS_FAILED, 5),
        "all end done": lasting(3, ENDS_DONE, 50),
        "end in each way": lasting(3, ENDS_IN_EACH_WAY, 700),
        "a gang that ends done": lasting(3, ENDS_DONE, 50, gang=True),
        "a gang that ends failed": lasting(3, ENDS_FAILED, 50, gang=True),
    }
    jobs = {name: cell.submit("e1", "scan", [one])[1] for name, one in kinds.items()}
    cell.wait("all have begun", lambda: set(jobs.values()) <= set(cell.verdict()["lasting_away_ms"]), 10)
    before = cell.verdict()["starts"]
    say("started again in time: %s" % watch(cell, jobs.values(), AWAY_MS, WATCH_S))
    # 14 tasks, each every 2 s, and five starts at once.
    starts = cell.verdict()["starts"] - before
    say("at a bounded pace: %s" % (starts <= 14 * (WATCH_S / 2 + 5)))
    victim, term = cell.scheduler(), cell.term()
    cell.entries[victim].kill()
    cell.wait("a new term begins", lambda: cell.term() > term, 10)
    say("also around a takeover: %s" % watch(cell, jobs.values(), TAKEOVER_MS, 10.0))
    say("and after it: %s" % watch(cell, jobs.values(), AWAY_MS, 5.0))
    say("shown as: %s" % sorted({cell.state(job) for job in jobs.values()}))
    for name, job in jobs.items():
        status = cell.ask(cell.alive()[0].name, "DELETE", "scan", job)[0]
        if status != 200:
            say("%s: the cancelling got %d" % (name, status))
    say("ended: %s" % cell.finish())
