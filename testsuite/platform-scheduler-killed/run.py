# SPDX-License-Identifier: Apache-2.0
"""The scheduler is killed with work under way; twice."""

PLATFORM = True


def run(cell, say):
    for _ in range(2):
        cell.flood(24)
        victim, term = cell.scheduler(), cell.term()
        cell.entries[victim].kill()
        cell.flood(24)
        cell.wait("a new term begins", lambda: cell.term() > term, 10)
        gone = any("scheduler-gone scheduler=" + victim in open(e.log).read()
                   for e in cell.entries.values())
        say("replaced before its claim ran out: %s" % gone)
        cell.restart(victim)
        cell.wait_ready()
    ended = cell.finish()
    say("all ended: %s" % (list(ended) == ["completed"]))
