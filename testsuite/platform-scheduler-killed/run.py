# SPDX-License-Identifier: Apache-2.0
"""The scheduler is killed with work under way; twice."""
import json

PLATFORM = True


def run(cell, say):
    for _ in range(2):
        cell.flood(24)
        victim, term = cell.scheduler(), cell.term()
        cell.entries[victim].kill()
        cell.flood(24)
        cell.restart(victim)
        cell.wait_ready()
        cell.wait("a new term begins", lambda: cell.term() > term, 10)
        say("killed the scheduler; a new term began")
    ended = cell.finish()
    say("all ended: %s" % (list(ended) == ["completed"]))
