# SPDX-License-Identifier: Apache-2.0
"""The scheduler's process may run for a small part of the time only, and more jobs come than it can
order: what it can't serve in time is refused at once, what it accepts is served in time, and none of
it is lost."""
import os
import signal
import sys
import threading
import time

from platform_cell import MAX_ATTEMPTS, job_body, step

PLATFORM = True
CELL = {"workers": 60}

# Of the time, in turns: on any machine less than the load below takes.
SHARE, TURN_S = 0.05, 0.04
JOBS_PER_S, SECONDS, SENDERS = 60, 12, 30
JOB = job_body([step(10, 1000, 500, 300)], MAX_ATTEMPTS["check"])
# A caller waits so long for its result; a refusal has to come at once.
DEADLINE_S, REFUSAL_S = 3.0, 0.5
# The users' floor for the worst class of requests.
FLOOR = 0.27
# For the first forecast to reach every box.
WARM_UP_S = 3


def throttle(pid, over):
    while not over.is_set():
        os.kill(pid, signal.SIGCONT)
        time.sleep(TURN_S * SHARE)
        os.kill(pid, signal.SIGSTOP)
        time.sleep(TURN_S * (1 - SHARE))
    os.kill(pid, signal.SIGCONT)


class Callers:
    """Hand jobs in at the boxes that do not schedule, and look at each after its deadline."""

    def __init__(self, cell, boxes):
        self.cell, self.boxes, self.lock = cell, boxes, threading.Lock()
        self.asked, self.accepted, self.in_time = 0, 0, 0
        self.refused, self.slow_refusals, self.odd = 0, 0, []

    def call(self, number, is_counted):
        begun = time.time()
        status, headers, _ = self.cell.ask(self.boxes[number % len(self.boxes)], "POST", "check",
                                           "%016x" % (number + 1), JOB)
        took = time.time() - begun
        if status == 200:
            with self.lock:
                self.cell.accepted["%016x" % (number + 1)] = "check"
            time.sleep(max(0, begun + DEADLINE_S - time.time()))
            done = self.cell.state("%016x" % (number + 1), self.boxes[0]) == "completed"
        with self.lock:
            if not is_counted:
                return
            self.asked += 1
            if status == 200:
                self.accepted += 1
                self.in_time += done
            else:
                fields = {key.lower(): value for key, value in dict(headers).items()}
                if status not in (429, 503) or int(fields.get("retry-after", 0)) < 1:
                    self.odd.append((status, fields))
                self.refused += 1
                self.slow_refusals += took > REFUSAL_S


def run(cell, say):
    cell.wait("a term begins", lambda: cell.term() > 0, 10)
    scheduler, term = cell.scheduler(), cell.term()
    boxes = [name for name in cell.entries if name != scheduler]
    callers, over, threads = Callers(cell, boxes), threading.Event(), []
    throttling = threading.Thread(target=throttle, args=(cell.entries[scheduler].child.pid, over))
    throttling.start()
    try:
        begun = time.time()
        for number in range(JOBS_PER_S * SECONDS):
            due = number / JOBS_PER_S
            time.sleep(max(0, begun + due - time.time()))
            threads.append(threading.Thread(target=callers.call, args=(number, due >= WARM_UP_S)))
            threads[-1].start()
        for one in threads:
            one.join()
    finally:
        over.set()
        throttling.join()
    print("asked %d, accepted %d, in time %d, refused %d, slowly %d, odd %s, same term: %s" % (
        callers.asked, callers.accepted, callers.in_time, callers.refused, callers.slow_refusals,
        callers.odd[:3], cell.term() == term), file=sys.stderr)
    say("accepted jobs in time: %s" % (
        "enough" if callers.in_time >= FLOOR * callers.accepted else "too few"))
    say("refusals: %s, odd ones: %d" % (
        "at once" if callers.slow_refusals <= 0.05 * callers.refused else "slow", len(callers.odd)))
    ended = cell.finish(60)
    say("all accepted jobs ended: %s" % (list(ended) == ["completed"]))
