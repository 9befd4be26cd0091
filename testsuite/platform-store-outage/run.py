# SPDX-License-Identifier: Apache-2.0
"""The store refuses everything for a while: new jobs are refused at once, work goes on."""
import time

from platform_cell import step

PLATFORM = True


def run(cell, say):
    _, long = cell.submit("e1", "scan", [step(2, 1000, 500, 2500)])
    cell.wait("it runs", lambda: cell.state(long) == "running", 10)
    cell.control({"store_down": True})
    begun = time.time()
    status, refused = cell.submit("e2", "check", [step(1)])
    say("a job without the store: %d, at once: %s" % (status, time.time() - begun < 1.0))
    again, _ = cell.submit("e3", "scan", [step(2, 1000, 500, 2500)], job=long)
    say("a kept job handed in again: %d" % again)
    time.sleep(3)
    cell.control({"store_down": False})
    cell.wait("the store is used again", lambda: cell.submit("e2", "check", [step(1)])[0] == 200, 10)
    say("ended: %s" % (list(cell.finish()) == ["completed"]))
    say("the refused job: %s" % cell.state(refused))
