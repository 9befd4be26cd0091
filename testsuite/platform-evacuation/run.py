# SPDX-License-Identifier: Apache-2.0
"""An availability zone is emptied while work runs there, stays so across a new scheduler, and is
taken back. The workers stand in two zones by turns."""
import time

from platform_cell import step

PLATFORM = True


def run(cell, say):
    def in_zone():
        return sum(cell.verdict()["running_by_worker"][0::2])

    def elsewhere():
        return sum(cell.verdict()["running_by_worker"][1::2])

    # Work that saves its progress, and more than one zone's worth of it.
    cell.submit("e1", "scan", [step(24, 2000, work_ms=9000, saves=True)])
    cell.wait("it runs in both zones", lambda: in_zone() > 0 and elsewhere() > 0, 10)
    cell.control({"evacuate": "z1"})
    time.sleep(1.0)
    cell.submit("e2", "rebuild", [step(4, 2000, gang=True, work_ms=800)])
    cell.flood(20)
    cell.wait("what saves has left the zone", lambda: in_zone() == 0, 8)
    say("the zone is empty")

    term = cell.term()
    cell.entries[cell.scheduler()].kill()
    cell.wait("another one schedules", lambda: cell.term() > term, 10)
    cell.flood(20)
    say("running in the zone after the takeover: %d" % in_zone())

    cell.control({"evacuate": "z1", "begins": 0})
    time.sleep(0.5)
    cell.submit(cell.alive()[0].name, "scan", [step(40, 2000, work_ms=600)])
    cell.wait("the zone is used again", lambda: in_zone() > 0, 8)
    say("all ended: %s" % (list(cell.finish(40)) == ["completed"]))
