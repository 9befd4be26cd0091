# SPDX-License-Identifier: Apache-2.0
"""A service is kept at its count while its workers fail, and is enlarged."""
import json

from cell import call
from scenes import finish, flood

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def running(cell, job):
    return sum(t["phase"] == "running" for t in cell.status(job)["tasks"])


def run(cell, say):
    service = cell.submit({"id": "svc", "partner": "kitami", "kind": "service", "count": 4,
                           "milli_cores": 1000, "max_tries": 50})
    say("service: " + service["outcome"])
    cell.wait("4 run", lambda: running(cell, "svc") == 4, 20)
    cell.kill("w1-1")
    cell.kill("w1-2")
    cell.wait("4 run again", lambda: running(cell, "svc") == 4, 60)
    cell.restart("w1-1")
    cell.restart("w1-2")
    status, _, _ = call(cell.processes["e1"].callers, "PUT", "/v1/jobs/svc/count", "7")
    say("enlarging it: %d" % status)
    cell.wait("7 run", lambda: running(cell, "svc") == 7, 30)
    say("7 run")
    say("cancelled: %d" % cell.cancel("svc"))
    finish(cell, ["svc"], say)
