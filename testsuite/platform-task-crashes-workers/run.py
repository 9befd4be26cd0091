# SPDX-License-Identifier: Apache-2.0
"""Three tasks crash each worker that begins them, among others that do not. They are given up after
three workers each, also when the scheduler is killed in between; the others end well."""
import time

from platform_cell import step

PLATFORM = True


def given_up(cell):
    """Jobs given up, by the logs of all entries."""
    return sum(" task-given-up " in line for entry in cell.entries.values()
               for line in open(entry.log, errors="replace"))


def run(cell, say):
    sound = [cell.submit("e1", "scan", [step(2, 1000, work_ms=1500, saves=True)])[1] for _ in range(6)]
    crashers = [cell.submit("e2", "check", [step(1, 2000, work_ms=500, crashes=True)])[1]
                for _ in range(2)]
    cell.wait("workers have crashed", lambda: cell.verdict()["crashes"] >= 2, 10)
    cell.entries[cell.scheduler()].kill()
    time.sleep(0.2)
    for name, entry in cell.entries.items():
        if not entry.alive():
            cell.restart(name)
    crashers.append(cell.submit_again("e3", "rebuild",
                                      [step(3, 2000, work_ms=500, gang=True, crashes=True)]))
    cell.wait_ready()
    ended = cell.finish(60)
    say("ended: %s" % sorted(ended.items()))
    say("jobs that crash workers: %s" % [cell.state(job) for job in crashers])
    say("the others: %s" % sorted({cell.state(job) for job in sound}))
    say("told in the log: %s" % (given_up(cell) == len(crashers)))
    print("crashes: %d" % cell.verdict()["crashes"])
