# SPDX-License-Identifier: Apache-2.0
"""Workers start again under their ids: while they are idle, under a gang, twice in a row, while they
answer nothing and as the scheduler is killed. Every job ends, and nothing runs twice."""
import time

from platform_cell import step

PLATFORM = True


def run(cell, say):
    workers = range(cell.worker_count)

    def restart(chosen):
        for worker in chosen:
            cell.control({"worker": worker, "becomes": "restarted"})

    cell.flood(16)
    say("all ended: %s" % (list(cell.finish(20)) == ["completed"]))
    restart(workers)
    cell.flood(16)
    say("idle workers restarted, all ended: %s" % (list(cell.finish(20)) == ["completed"]))

    cell.submit("e1", "rebuild", [step(8, 7000, gang=True, work_ms=2500)])
    cell.submit("e2", "scan", [step(4, 1500, work_ms=2500)])
    cell.wait("they run", lambda: cell.verdict()["running"] == 12, 10)
    used = [i for i, n in enumerate(cell.verdict()["running_by_worker"]) if n >= 1]
    restart(used[:1])
    time.sleep(0.1)
    restart(used[:2])
    cell.control({"worker": used[2], "becomes": "mute"})
    restart(used[2:3])
    cell.control({"worker": used[2], "becomes": "mute"})
    time.sleep(1)
    cell.control({"worker": used[2], "becomes": "well"})
    say("a gang lost members to restarts, all ended: %s" % (list(cell.finish(30)) == ["completed"]))

    cell.flood(16)
    scheduler = cell.scheduler()
    cell.entries[scheduler].kill()
    restart(workers)
    cell.flood(16)
    cell.restart(scheduler)
    cell.wait_ready()
    say("restarts in a takeover, all ended: %s" % (list(cell.finish(40)) == ["completed"]))
