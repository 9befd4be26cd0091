# SPDX-License-Identifier: Apache-2.0
"""Queues are sent to another service while their jobs wait, run, last or are not due yet, and back;
the workers of the service that they have left go. The scheduler is killed while a moved run is on a
worker that has fallen silent, after one move and after two. All jobs go on, and no task runs twice."""
import time

from platform_cell import configuration, lasting, step

PLATFORM = True
CELL = {"workers": 6, "others": 3}
POOL, POOL2 = range(0, 3), range(3, 6)
LEASE_S = 5.0
SILENT_S = 2.5  # Less than the lease of a worker.
FORCE_S = 1.0   # A configuration is in force within this time.


class Moves:
    def __init__(self, cell):
        self.cell, self.version = cell, 1

    def send(self, service, queues=("scan", "rebuild")):
        self.version += 1
        self.cell.control({"configuration": configuration(self.version, dict.fromkeys(queues, service))})
        time.sleep(FORCE_S)

    def running(self, workers):
        counts = self.cell.verdict()["running_by_worker"]
        return sum(counts[i] for i in workers)


def submit(cell, steps, queue="scan", **times):
    status, job = cell.submit(cell.alive()[0].name, queue, steps, **times)
    if status != 200:
        raise RuntimeError("a job got %s" % status)
    return job


def take_over_beside_a_silent_worker(cell, moves, say, what):
    """The task runs on a worker of "pool2" that answers no call for a while; the scheduler is
    killed."""
    where = next(i for i in POOL2 if cell.verdict()["running_by_worker"][i])
    cell.control({"worker": where, "becomes": "mute"})
    victim, term = cell.scheduler(), cell.term()
    cell.entries[victim].kill()
    cell.wait("a new term begins", lambda: cell.term() > term, 10)
    limit, most = time.time() + SILENT_S, 0
    while time.time() < limit:
        most = max(most, cell.verdict()["running"])
        time.sleep(0.05)
    cell.control({"worker": where, "becomes": "well"})
    cell.restart(victim)
    cell.wait_ready()
    say("%s: one run at a time: %s" % (what, most == 1))


def run(cell, say):
    moves = Moves(cell)
    two_steps = submit(cell, [step(2, work_ms=2500), step(2, work_ms=200, after=[0])])
    later = submit(cell, [step(1, work_ms=200)], repetitions=1, first_run_ms=int(time.time() * 1000) + 6000,
                   interval_ms=1000)
    lasts = submit(cell, [lasting(1)], "rebuild")
    cell.wait("they run", lambda: moves.running(POOL) == 3, 10)
    moves.send("pool2")
    say("runs go on where they are: %s" % (moves.running(POOL) == 3))
    cell.wait("the first step ends", lambda: moves.running(POOL) == 1, 10)
    for worker in POOL:
        cell.control({"worker": worker, "becomes": "dead"})
    cell.wait("what lasts runs on the new service", lambda: moves.running(POOL2) >= 1, 10)
    cell.wait("the second step ends", lambda: cell.state(two_steps) == "completed", 15)
    cell.wait("the round ends", lambda: cell.state(later) == "completed", 15)
    say("jobs ended without the workers of the first service: True")
    cell.ask(cell.alive()[0].name, "DELETE", "rebuild", lasts)
    for worker in POOL:
        cell.control({"worker": worker, "becomes": "reborn"})

    # Accepted for "pool" while that has no room, and moved before its first start.
    moves.send("pool")
    fills = [submit(cell, [step(3, 16000, 500, 1500)], "rebuild")]
    cell.wait("the workers are full", lambda: moves.running(POOL) == 3, 10)
    job = submit(cell, [step(1, work_ms=9000)])
    moves.send("pool2", ["scan"])
    cell.wait("the job runs on the new service", lambda: moves.running(POOL2) == 1, 10)
    cell.wait("the others end", lambda: all(cell.state(one) == "completed" for one in fills), 10)
    take_over_beside_a_silent_worker(cell, moves, say, "after one move")
    cell.wait("the job ends", lambda: cell.state(job) == "completed", 20)

    moves.send("pool")
    fills = [submit(cell, [step(3, 16000, 500, 1500)], "rebuild")]
    cell.wait("the workers are full", lambda: moves.running(POOL) == 3, 10)
    job = submit(cell, [step(1, work_ms=9000)])
    moves.send("pool2", ["scan"])
    cell.wait("the job runs on the new service", lambda: moves.running(POOL2) == 1, 10)
    moves.send("pool", ["scan"])
    cell.wait("the others end", lambda: all(cell.state(one) == "completed" for one in fills), 10)
    take_over_beside_a_silent_worker(cell, moves, say, "after two moves")
    say("ended: %s" % cell.finish())
