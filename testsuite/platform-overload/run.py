# SPDX-License-Identifier: Apache-2.0
"""Four times as many jobs as fit: those that would be late are refused and never run, callers that
come back as told are served, and operators switch the refusals off."""
import json
import os
import subprocess
import threading
import time

from cell import BIN
from platform_cell import configuration, job_body, step

PLATFORM = True
CELL = {"workers": 3}

# Each job takes a whole worker for 0.4 s: 7.5 of them a second. It has 1.88 s until its objective.
JOB = job_body([step(1, 16000, 500, 400)])
BELOW, BURST = 4, 30  # Jobs per second.
# A result is of no use to the caller after three spans of the objective.
USEFUL = 3 * 1.88


def configured(version, admission):
    return dict(configuration(version), overload={"admission": admission})


class Callers:
    def __init__(self, cell):
        self.cell, self.lock = cell, threading.Lock()
        self.refused, self.accepted, self.returned, self.odd = set(), set(), set(), []
        self.serial = 0

    def call(self, name, first, entry):
        """One call, and those that the answers ask for."""
        names = list(self.cell.entries)
        while True:
            status, headers, body = self.cell.ask(names[entry % len(names)], "POST", "rebuild", name, JOB)
            entry += 1
            with self.lock:
                if status == 200:
                    self.accepted.add(name)
                    if name in self.refused:
                        self.returned.add(name)
                    return
                self.refused.add(name)
                fields = {key.lower(): value for key, value in dict(headers).items()}
                after = fields.get("retry-after", "")
                if (status, fields.get("valveshelf-outcome"), b'"overloaded"' in body) != (
                        503, "not-run", True) or not after.isdigit() or int(after) < 1:
                    self.odd.append((status, fields, body))
                    return
            if time.time() + int(after) > first + USEFUL:
                return
            time.sleep(int(after))

    def submit(self, per_second, seconds):
        """New jobs at an even rate, each from its own caller."""
        callers, begun = [], time.time()
        for number in range(int(per_second * seconds)):
            time.sleep(max(0, begun + number / per_second - time.time()))
            self.serial += 1
            callers.append(threading.Thread(
                target=self.call, args=("%016x" % self.serial, time.time(), number)))
            callers[-1].start()
        return callers


def run(cell, say):
    def completed(jobs):
        return all(cell.ask("e1", "GET", "rebuild", job)[2].find(b"completed") >= 0 for job in jobs)

    def in_force(admission):
        return all(json.loads(subprocess.run(
            [os.path.join(BIN, "valveshelf"), "report", "overload", "--entry", entry.metrics, "--json"],
            capture_output=True, text=True, timeout=20).stdout)["features"]["admission"] == admission
            for entry in cell.entries.values())

    cell.control({"configuration": configured(2, "on")})
    cell.wait("it is in force", lambda: in_force(True), 5)
    first = Callers(cell)
    calls = first.submit(BELOW, 4)
    say("refused below the capacity: %d" % len(first.refused))
    calls += first.submit(BURST, 4)
    for one in calls:
        one.join()
    say("some were refused: %s, each refusal says when to return: %s" % (len(first.refused) > 20, not first.odd))
    say("some came back and were served: %s" % (len(first.returned) > 5))
    cell.wait("all that was accepted is complete", lambda: completed(first.accepted), 30)
    never = first.refused - first.accepted
    say("refused for good and started: %d" % len(never & set(cell.verdict()["started_jobs"])))
    out = subprocess.run([os.path.join(BIN, "valveshelf"), "report", "overload", "--entry",
                          ",".join(e.metrics for e in cell.entries.values())],
                         capture_output=True, text=True, timeout=20)
    say("report overload: exit %d, %d forecasts" % (out.returncode, out.stdout.count("forecast of term")))
    print("refused %d, accepted %d, came back %d" % (len(first.refused), len(first.accepted), len(first.returned)))

    cell.control({"configuration": configured(3, "off")})
    cell.wait("it is off", lambda: in_force(False), 5)
    second = Callers(cell)
    second.serial = 100000
    for one in second.submit(BURST, 2):
        one.join()
    say("refused with admission off: %d" % len(second.refused))
    cell.wait("all that was accepted is complete", lambda: completed(second.accepted), 40)
