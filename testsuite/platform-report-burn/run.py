# SPDX-License-Identifier: Apache-2.0
"""The command line against a running cell: burn by queue from all processes, and a job explained."""
import json
import os
import subprocess

from cell import BIN
from platform_cell import step

PLATFORM = True


def valveshelf(*args):
    run = subprocess.run([os.path.join(BIN, "valveshelf"), *args], capture_output=True, text=True, timeout=20)
    return run.returncode, run.stdout, run.stderr


def run(cell, say):
    for i in range(6):
        cell.submit("e%d" % (i % 3 + 1), "check", [step(2, 500, 300, 40)])
    cell.submit("e1", "scan", [step(1, 500, 300, 60)])
    say("ended: " + json.dumps(cell.finish()))
    entries = ",".join(e.metrics for e in cell.entries.values())
    code, out, _ = valveshelf("report", "burn", "--entry", entries, "--json")
    hour = {r["queue"]: r for r in json.loads(out)["lines"] if r["window_minutes"] == 60}
    say("exit %d, jobs by queue: %s" % (code, {q: r["met"] + r["late"] + r["failed"] for q, r in hour.items()}))
    page = os.path.join(cell.folder, "burn.html")
    code, out, _ = valveshelf("report", "burn", "--entry", entries, "--html", page)
    say("exit %d, a table with %d lines, a page with plots: %s" % (
        code, len(out.splitlines()), "<svg" in open(page).read()))
    code, _, err = valveshelf("report", "burn", "--entry", "127.0.0.1:1")
    say("a process that does not answer: exit %d, named: %s" % (code, "127.0.0.1:1" in err))
    code, _, err = valveshelf("report", "burn", "--entry", entries, "--target", "2")
    say("a bad target: exit %d" % code)
    _, wide = cell.submit("e1", "scan", [step(1, 999999)])
    cell.wait("the scheduler knows it", lambda: valveshelf(
        "explain", "--entry", cell.entries["e2"].metrics, wide)[0] == 0, 5)
    _, out, _ = valveshelf("explain", "--entry", cell.entries["e3"].metrics, wide)
    say("as text: %s" % ("waits_for" in out and "queue=q-scan" in out))
    _, out, _ = valveshelf("explain", "--entry", cell.entries["e3"].metrics, "--output", "json", wide)
    found = json.loads(out)
    say("explained at any process: waits for %r, workers without room: %d" % (
        found["steps"][0]["waits_for"], found["steps"][0]["workers"]["without_room"]))
    cell.ask("e2", "DELETE", "scan", wide)
    cell.accepted.pop(wide)
