# SPDX-License-Identifier: Apache-2.0
"""Each entry is stopped as planned and started again, under load; no call is cut."""
import threading
import time

from cell import call
from platform_cell import step

PLATFORM = True


def run(cell, say):
    going, cut = [True], []

    def load():
        i = 0
        while going[0]:
            i += 1
            alive = [e.name for e in cell.alive()]
            name = alive[i % len(alive)]
            # As the balancer does: nothing new for an entry that is not ready.
            if call(cell.entries[name].readiness, "GET", "/")[0] != 200:
                continue
            status, job = cell.submit(name, "check", [step(2, 700, 300, 60)])
            if status == 0:
                cut.append(job)
            time.sleep(0.02)

    thread = threading.Thread(target=load)
    thread.start()
    for name in list(cell.entries):
        say("%s stopped with code %d" % (name, cell.stop(name)))
        cell.restart(name)
        cell.wait_ready()
    going[0] = False
    thread.join()
    say("calls cut: %d" % len(cut))
    say("all ended: %s" % (list(cell.finish()) == ["completed"]))
