# SPDX-License-Identifier: Apache-2.0
"""Workers vanish for good, one with a member of a gang; another comes back as a new life."""
from platform_cell import step

PLATFORM = True


def run(cell, say):
    cell.submit("e1", "rebuild", [step(8, 7000, gang=True, work_ms=3000)])
    cell.submit("e2", "scan", [step(6, 3000, work_ms=3000)])
    cell.wait("they run", lambda: cell.verdict()["running"] == 14, 10)
    cell.control({"worker": 0, "becomes": "dead"})
    cell.control({"worker": 1, "becomes": "reborn"})
    say("one worker is gone, one has a new life")
    say("all ended: %s" % (list(cell.finish(60)) == ["completed"]))
