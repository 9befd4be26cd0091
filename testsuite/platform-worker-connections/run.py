# SPDX-License-Identifier: Apache-2.0
"""The scheduler loses power again and again, and leaves connections behind at workers that accept
few: accepted work must not wait for new connections, which such a worker resets."""
import sys
import time

PLATFORM = True
CONNECTIONS = 8
CELL = {"entries": 4, "worker_connections": CONNECTIONS}
LOSSES = 12
ANSWER_TIME_S = 2.5  # In which a long poll ends and shows the worker that its client is lost.


def run(cell, say):
    for _ in range(LOSSES):
        cell.flood(24)
        victim, term = cell.scheduler(), cell.term()
        cell.lose_power(victim)
        cell.flood(12)
        cell.wait("a new term begins", lambda: cell.term() > term, 10)
        cell.restart(victim)
        cell.wait_ready()
    ended = cell.finish()
    say("all ended: %s" % (list(ended) == ["completed"]))
    time.sleep(ANSWER_TIME_S)
    left_behind = [front.left_behind() for front in cell.worker_fronts]
    print("left behind: %s, refused: %s" % (left_behind, [front.refused for front in cell.worker_fronts]),
          file=sys.stderr)
    say("workers without a connection left: %d" % sum(n >= CONNECTIONS for n in left_behind))
