# SPDX-License-Identifier: Apache-2.0
"""A worker with members of a gang vanishes for good; another comes back as a new life. The gang has
room on the others and ends there."""
from platform_cell import step

PLATFORM = True


def run(cell, say):
    cell.submit("e1", "rebuild", [step(8, 7000, gang=True, work_ms=2500)])
    cell.submit("e2", "scan", [step(4, 1500, work_ms=2500)])
    cell.wait("they run", lambda: cell.verdict()["running"] == 12, 10)
    used = [i for i, n in enumerate(cell.verdict()["running_by_worker"]) if n >= 2]
    cell.control({"worker": used[0], "becomes": "dead"})
    cell.control({"worker": used[1], "becomes": "reborn"})
    say("one worker is gone, one has a new life")
    say("all ended: %s" % (list(cell.finish(35)) == ["completed"]))
