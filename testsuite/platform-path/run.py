# SPDX-License-Identifier: Apache-2.0
"""The whole path: jobs of each kind, the same job twice, what is refused, cancel and counts."""
import json

from platform_cell import step

PLATFORM = True


def run(cell, say):
    status, job = cell.submit("e1", "check", [step(2)])
    say("a job at e1: %d" % status)
    say("the same job again at e2: %d" % cell.submit("e2", "check", [step(2)], job)[0])
    say("gang: %d" % cell.submit("e3", "rebuild", [step(4, 3000, gang=True)])[0])
    say("steps: %d" % cell.submit("e2", "scan", [step(3), step(2, after=[0]), step(1, after=[0, 1])])[0])
    say("ended: " + json.dumps(cell.finish()))
    say("read at each entry: " + str([cell.state(job, e) for e in cell.entries]))
    say("no such job: %s" % cell.ask("e1", "GET", "check", "0" * 16)[0])
    say("no such queue: %s" % cell.ask("e1", "GET", "nowhere")[0])
    status, _, body = cell.ask("e1", "POST", "check", "1" * 16, '{"spec":"x","steps":[{"count":"2"}]}')
    say("a bad job: %d, names the field: %s" % (status, b"count" in body))
    _, long = cell.submit("e1", "scan", [step(1, 1000, 500, 30000)])
    cell.wait("it runs", lambda: cell.state(long) == "running", 10)
    say("cancelled: %d" % cell.ask("e2", "DELETE", "scan", long)[0])
    cell.wait("it is shown", lambda: cell.state(long) == "cancelled", 5)
    cell.wait("nothing runs", lambda: cell.verdict()["running"] == 0, 5)
    say("cancelled again: %d" % cell.ask("e3", "DELETE", "scan", long)[0])
    say("cancelled after its end: %d" % cell.ask("e3", "DELETE", "check", job)[0])
    _, wide = cell.submit("e1", "scan", [step(1, 999999)])
    cell.wait("it is counted", lambda: json.loads(cell.ask("e3", "GET", "scan")[2]) == {"pending": 1}, 5)
    say("a job that fits nowhere waits: " + cell.state(wide))
    cell.ask("e2", "DELETE", "scan", wide)
    cell.accepted.pop(wide)
