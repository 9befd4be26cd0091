# SPDX-License-Identifier: Apache-2.0
"""The thin whole path: a configuration, requests, jobs of each kind, one entry killed."""
import json

from cell import call, now_ms
from scenes import finish, flood, owner_with_workers


def run(cell, say):
    versions = cell.see_config()
    cell.wait("both changes are in force", lambda: set(cell.see_config().values()) == {2}, 7)
    say("configuration version 2 in force at %d entries" % len(versions))
    for entry, path in (("e1", "/registry/check"), ("e3", "/catalogue/look")):
        cell.wait("the route answers", lambda: cell.request(path, "warm-%d" % now_ms(), entry)["status"] == 200, 10)
        record = cell.request(path, "own-" + entry, entry, bytes_wanted=100000)
        say("request through %s: %s, %s, whole %s, own %s" % (
            entry, record["status"], record["outcome"], record["got"] == 100000,
            record["body_id"] == "own-" + entry))
    job = cell.submit({"id": "first", "partner": "olano", "count": 3, "run_time_ms": 100}, entry="e2")
    say("job submitted at e2: " + job["outcome"])
    again = cell.submit({"id": "first", "partner": "olano", "count": 3, "run_time_ms": 100}, entry="e1")
    say("the same job again at e1: " + again["outcome"])
    # Not noted as a job of its own: the id is another's.
    other, _, _ = call(cell.processes["e1"].callers, "POST", "/v1/jobs",
                       json.dumps({"id": "first", "partner": "kitami", "count": 9}))
    say("another job of that id: %d" % other)
    huge = cell.submit({"id": "huge", "partner": "kitami", "memory_mb": 999999}, entry="e1")
    say("a job no box could hold: %d %s" % (huge["status"], huge["outcome"]))
    listed = [json.loads(call(cell.processes[e].callers, "GET", "/v1/jobs?partner=" + p)[2])
              for e in cell.entries for p in ("olano", "kitami")]
    say("jobs listed by partner at each entry: " + str([[j["id"] for j in jobs] for jobs in listed]))
    cell.wait("it ended", lambda: cell.status("first", "e3")["state"] == "ended", 20)
    say("its end read at e3: " + json.dumps(cell.status("first", "e3")["outcomes"]))
    victim = owner_with_workers(cell)
    jobs = ["first"] + flood(cell, 10, "before")
    cell.kill(victim)
    jobs += flood(cell, 10, "after")
    gang = cell.submit({"id": "gang", "partner": "kitami", "kind": "gang", "count": 6,
                        "milli_cores": 3000, "run_time_ms": 300})
    say("gang: " + gang["outcome"])
    finish(cell, jobs + ["gang"], say)
    say("gang outcomes: " + json.dumps(cell.status("gang")["outcomes"]))
    cell.wait_ready(30)
    say("the survivors own every shard")
