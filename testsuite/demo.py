# SPDX-License-Identifier: Apache-2.0
"""The demo: the thin whole path through real processes, one entry killed on the way."""
import json
import os
import shutil
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cell import Cell, KITAMI, OLANO, now_ms


def step(text):
    print("\n== " + text, flush=True)


def owner_of_most(cell):
    from cell import call
    _, _, body = call(cell.processes[cell.entries[0]].operators, "GET", "/v1/members")
    return max(json.loads(body)["members"], key=lambda m: len(m["shards"]))["name"]


def hold_up(cell):
    """Keeps the cell under light load, and notes who dies by the user's hand."""
    step("holding under light load; kill what you like, end with Enter or Ctrl-C")
    over, jobs = threading.Event(), []

    def load():
        number = 0
        while not over.is_set():
            number += 1
            try:
                record = cell.submit({"partner": "olano", "milli_cores": 500, "run_time_ms": 1000,
                                      "repeatable": number % 4 != 0})
                if record["outcome"] == "accepted":
                    jobs.append(record["id"])
                cell.request("/registry/check", "hold-%d" % number)
            except IndexError:
                pass
            over.wait(0.3)

    def watch():
        dead = set()
        while not over.is_set():
            for name, process in cell.processes.items():
                if not process.alive() and name not in dead:
                    dead.add(name)
                    cell.note(type="killed", name=name)
                    print("   %s is gone" % name, flush=True)
            over.wait(0.02)

    threads = [threading.Thread(target=load), threading.Thread(target=watch)]
    for thread in threads:
        thread.start()
    try:
        sys.stdin.readline()
    except KeyboardInterrupt:
        pass
    print("   waiting until what was accepted has ended", flush=True)
    over.set()
    for thread in threads:
        thread.join()
    left = cell.wait_ended(list(jobs), 60)
    print("   %d jobs accepted while holding, %d not ended" % (len(jobs), len(left)))


def main():
    hold = "--hold" in sys.argv[1:]
    if set(sys.argv[1:]) - {"--hold"}:
        print("usage: scripts/demo [--hold]", file=sys.stderr)
        return 2
    folder = tempfile.mkdtemp(prefix="valveshelf-demo-")
    cell = Cell(folder, timing={"task_lease": "10s", "worker_poll": "1s"})
    try:
        step("starting the platform's stand-ins, 6 workers, 4 upstreams and 3 entry processes")
        began = time.time()
        cell.start()
        cell.wait_ready()
        print("   ready after %.1f s; records and logs in %s" % (time.time() - began, folder))
        for process in cell.processes.values():
            print("   %-9s %-8s pid %-7d %s%s" % (
                process.kind, process.name, process.child.pid, process.address,
                " operators " + process.operators if process.kind == "entry" else ""))

        step("applying both partners' configuration at e1 and reading it everywhere")
        for partner, text in (("olano", OLANO), ("kitami", KITAMI)):
            version = cell.apply_config(partner, text, entry="e1")
            at = now_ms()
            cell.wait("version %s is in force" % version, lambda: min(
                cell.see_config().values()) >= version, 7)
            print("   %s: version %s in force at all entries after %d ms" % (
                partner, version, now_ms() - at))

        step("a request through e1 and one through e3")
        for number, (entry, path) in enumerate((("e1", "/registry/check"), ("e3", "/catalogue/look"))):
            cell.wait("the route answers", lambda: cell.request(
                path, "warm-%d-%d" % (number, now_ms()), entry)["status"] == 200, 10)
            record = cell.request(path, "demo-%d" % number, entry)
            print("   %s via %s: status %s, outcome %s, whole answer for %s" % (
                path, entry, record["status"], record["outcome"], record.get("body_id")))

        step("a job submitted at e2, its end read at e3")
        job = cell.submit({"partner": "olano", "team": "build", "count": 4, "milli_cores": 1000,
                           "memory_mb": 512, "run_time_ms": 300}, entry="e2")
        cell.wait("the job ends", lambda: cell.status(job["id"], "e3")["state"] == "ended", 15)
        print("   " + json.dumps(cell.status(job["id"], "e3")["outcomes"]))

        victim = owner_of_most(cell)
        step("a flood of jobs and requests; %s is killed with SIGKILL in the middle" % victim)
        jobs = [job["id"]]
        for number in range(40):
            once = number % 5 == 0
            jobs.append(cell.submit({
                "partner": "olano" if number % 2 else "kitami", "count": 2, "milli_cores": 500,
                "memory_mb": 256, "run_time_ms": 200 + 50 * (number % 7),
                "repeatable": not once})["id"])
            cell.request("/registry/check", "flood-%d" % number)
            if number == 20:
                cell.kill(victim)
        gang = cell.submit({"partner": "kitami", "kind": "gang", "count": 5, "milli_cores": 4000,
                            "memory_mb": 2048, "run_time_ms": 500})
        jobs.append(gang["id"])
        left = cell.wait_ended(jobs, 30)
        print("   %d jobs, %d not ended" % (len(jobs), len(left)))
        cell.wait_ready()
        print("   the other entries own all shards")

        step("%s comes back; %s is stopped as planned" % (victim, "e1" if victim != "e1" else "e2"))
        cell.restart(victim)
        cell.wait_ready()
        stopped = "e1" if victim != "e1" else "e2"
        print("   exit code %d" % cell.planned_stop(stopped))
        record = cell.request("/registry/check", "after-stop")
        print("   a request afterwards: status %s" % record["status"])
        cell.see_config()
        if hold:
            cell.restart(stopped)
            cell.wait_ready()
            hold_up(cell)
        step("the auditor's table, from the stand-ins' and callers' records alone")
        code = cell.audit()
        return code
    finally:
        cell.end()
        if not hold and sys.exc_info()[0] is None:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
