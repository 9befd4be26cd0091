# SPDX-License-Identifier: Apache-2.0
"""All entries are killed at once with work under way, during an outage and after it: every
accepted job stays known and ends. (The sequence that lost jobs in the design before: an outage of the
store, a kill of the owner, a planned stop of its successor.)"""
import time

PLATFORM = True


def run(cell, say):
    cell.flood(24)
    for entry in cell.entries.values():
        entry.kill()
    for name in cell.entries:
        cell.restart(name)
    cell.wait_ready()
    say("all were killed and are back")
    cell.flood(24)
    cell.control({"store_down": True})
    time.sleep(1)
    victim, term = cell.scheduler(), cell.term()
    cell.entries[victim].kill()
    cell.control({"store_down": False})
    cell.wait("a new term begins", lambda: cell.term() > term, 10)
    say("the successor stops with code %d" % cell.stop(cell.scheduler()))
    for name in cell.entries:
        if not cell.entries[name].alive():
            cell.restart(name)
    cell.wait_ready()
    say("all ended: %s" % (list(cell.finish()) == ["completed"]))
    unknown = [job for job in cell.accepted if cell.state(job) == 410]
    say("accepted jobs that are unknown: %d" % len(unknown))
