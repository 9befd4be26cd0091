# SPDX-License-Identifier: Apache-2.0
"""Organisations: whose key opens what, keys that are taken away, and what each may have running."""
import json
import time

from platform_cell import configuration, job_body, step

PLATFORM = True


def organisations(version, north, south=("s1",)):
    whole = configuration(version)
    whole["tenants"] = [
        {"name": "north", "api_keys": list(north), "weight": 5,
         "maximum": {"cpu": 3000, "mem_mb": 0, "gpu": 0}},
        {"name": "south", "api_keys": list(south), "weight": 5},
    ]
    return whole


def run(cell, say):
    def ask(entry, method, queue, key, job="", body=None):
        return cell.ask(entry, method, queue, job, body, key=key)[0]

    def everywhere(key):
        return [ask(entry, "GET", "scan", key) for entry in cell.entries]

    cell.control({"configuration": organisations(2, ["n1", "n2"])})
    cell.wait("it is in force", lambda: everywhere(None) == [401] * 3, 5)
    cell.wait("a scheduler answers", lambda: everywhere("n1") == [200] * 3, 10)
    say("an unknown key: %s" % everywhere("n3"))
    say("a key of 201 bytes: %s" % everywhere("n" * 201))
    say("both keys of an organisation: %s, %s" % (everywhere("n1"), everywhere("n2")))

    jobs = ["%016x" % (i + 1) for i in range(8)]
    body = job_body([step(3, 1000, 100, 400)])
    say("handed in: %s" % [ask("e1", "POST", "scan", "n1", job, body) for job in jobs])
    most = 0
    for _ in range(20):
        most = max(most, cell.verdict()["running"])
        time.sleep(0.03)
    say("most tasks at a time: %d" % most)
    say("another's key: state %d, cancel %d, the same id %d" % (
        ask("e2", "GET", "scan", "s1", jobs[7]), ask("e2", "DELETE", "scan", "s1", jobs[7]),
        ask("e3", "POST", "scan", "s1", jobs[7], body)))
    say("a gang beyond the maximum: %d" % ask("e2", "POST", "rebuild", "n1", "f" * 16,
                                              job_body([step(4, 1000, 100, 200, gang=True)])))
    say("the same for an organisation without one: %d" % ask(
        "e2", "POST", "rebuild", "s1", "e" * 16, job_body([step(4, 1000, 100, 200, gang=True)])))

    cell.control({"configuration": organisations(3, ["n2"])})
    cell.wait("the key is gone", lambda: everywhere("n1") == [401] * 3, 3)
    say("the key that stays: %s" % everywhere("n2"))
    cell.control({"configuration": organisations(4, [])})
    cell.wait("all keys are gone", lambda: everywhere("n2") == [401] * 3, 3)
    cell.control({"configuration": organisations(5, ["n9"])})
    cell.wait("a new key opens", lambda: everywhere("n9") == [200] * 3, 3)

    def ended():
        states = [json.loads(cell.ask("e1", "GET", "scan", job, key="n9")[2])["state"] for job in jobs]
        return states == ["completed"] * 8
    cell.wait("what was accepted is complete", ended, 20)
    say("the end of the eighth, at another entry: %d, by another's key: %d" % (
        ask("e3", "GET", "scan", "n9", jobs[7]), ask("e3", "GET", "scan", "s1", jobs[7])))
    cell.control({"configuration": dict(organisations(6, ["n9"], ["n9"]))})
    time.sleep(0.3)
    say("a version with a key of two is passed over: %s" % everywhere("s1"))
    cell.control({"configuration": configuration(7)})
    cell.wait("without organisations nobody needs a key", lambda: everywhere(None) == [200] * 3, 3)
