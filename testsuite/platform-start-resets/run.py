# SPDX-License-Identifier: Apache-2.0
"""Schedulers are killed, and connections to workers are reset after a start was carried out and
before its answer arrives. The client sends the order again over another connection, where a later
start has raised the token or the run has ended: a refusal must not be taken for a proof that the run
is not there."""
import sys
import threading
import time

from platform_cell import step

PLATFORM = True
CELL = {"entries": 4, "workers": 4, "start_resets": True}
TAKEOVERS = 12
LOAD_S = 1.2  # Under each scheduler.
# Processor need and duration of the tasks. Four of the last kind fill a worker.
TASKS = ((900, 30), (900, 90), (3500, 250))


def load(cell, over):
    """Most runs are short, so that ends are acknowledged between starts."""
    number = 0
    while not over.wait(0.02):
        alive = cell.alive()
        cpu, work_ms = TASKS[number % len(TASKS)]
        cell.submit(alive[number % len(alive)].name, "rebuild", [step(3, cpu, 300, work_ms)])
        number += 1


def run(cell, say):
    over = threading.Event()
    caller = threading.Thread(target=load, args=(cell, over), daemon=True)
    caller.start()
    cell.wait("a term begins", lambda: cell.term() > 0, 10)
    for _ in range(TAKEOVERS):
        victim, term = cell.scheduler(), cell.term()
        cell.entries[victim].kill()
        cell.wait("a new term begins", lambda: cell.term() > term, 10)
        for front in cell.worker_fronts:
            front.active = 1
        cell.restart(victim)
        time.sleep(LOAD_S)
        for front in cell.worker_fronts:
            front.active = 0
    over.set()
    caller.join()
    cell.wait_ready()
    ended = cell.finish()
    say("all ended: %s" % (list(ended) == ["completed"]))
    repeated = cell.count_logged(" start-not-confirmed ", " repeated=yes ")
    print("jobs: %d, resets: %d, orders sent again and refused: %d" % (
        len(cell.accepted), sum(front.resets for front in cell.worker_fronts), repeated), file=sys.stderr)
    say("orders were sent again and refused: %s" % (repeated > 0))
    say("unbooked runs that a report names: %d" % cell.count_logged(" run-contradicted "))
