# SPDX-License-Identifier: Apache-2.0
"""Steps that several sessions over real processes share."""
import json
import time

from cell import call


def flood(cell, amount, prefix, once_every=4, **more):
    jobs = []
    for number in range(amount):
        job = {"id": "%s-%d" % (prefix, number), "partner": "olano", "count": 2, "milli_cores": 500,
               "memory_mb": 256, "run_time_ms": 400, "repeatable": number % once_every != 0}
        job.update(more)
        if cell.submit(job)["outcome"] == "accepted":
            jobs.append(job["id"])
    return jobs


def owners(cell, entry=None):
    """Shard to member, as one entry process sees it."""
    name = entry or cell.any_entry()
    _, _, body = call(cell.processes[name].operators, "GET", "/v1/members", timeout=3)
    return {s: m["name"] for m in json.loads(body)["members"] for s in m["shards"]}


def owner_with_workers(cell):
    """An entry process that owns a shard with workers."""
    for name in cell.entries:
        _, _, body = call(cell.processes[name].operators, "GET", "/metrics", timeout=3)
        for line in body.decode().splitlines():
            if line.startswith("valveshelf_workers ") and float(line.split()[1]) > 0:
                return name
    raise RuntimeError("nobody owns workers")


def metric(cell, entry, name):
    _, _, body = call(cell.processes[entry].operators, "GET", "/metrics", timeout=3)
    for line in body.decode().splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return None


def starts_on_workers(cell):
    """How many starts the workers' own records hold."""
    count = 0
    for worker in cell.workers:
        with open("%s/%s.jsonl" % (cell.records, worker)) as records:
            count += sum('"type":"start"' in line for line in records)
    return count


def finish(cell, jobs, say, seconds=60):
    left = cell.wait_ended(jobs, seconds)
    say("%d jobs accepted, %d not ended" % (len(jobs), len(left)))
