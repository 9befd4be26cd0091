# SPDX-License-Identifier: Apache-2.0
"""A cell of `valveshelf serve` processes on loopback against the stand-in of the users' platform.

Used by scripts/demo and by the sessions whose run.py says PLATFORM = True. Every process is a child
of this one and is ended by its own id.
"""
import json
import os
import random
import signal
import sys
import threading
import time

from cell import BIN, Process, call, free_ports
from proxy import Proxy, ProxyThread, ServerConnections, StartAnswerResets

HOST = "queue.example"
PREFIXES = {"check": "/check/", "scan": "/scan/", "rebuild": "/rebuild/", "nowhere": "/nowhere/"}

SETTINGS = """[member]
name = "%(name)s"
zone = "z1"
[listen]
callers = "127.0.0.1:%(callers)d"
readiness = "127.0.0.1:%(readiness)d"
peers = "127.0.0.1:%(peers)d"
metrics = "127.0.0.1:%(metrics)d"
[platform]
store = "127.0.0.1:%(store)d"
advice = "127.0.0.1:%(advice)d"
[bounds]
longest_worker_lease = "6s"
stop_time = "50ms"
stop_grace_seconds = 6
[process]
power = %(power)s
"""


MAX_ATTEMPTS = {"check": 3, "rebuild": 3, "scan": 2}


def configuration(version=1, services=None):
    """`services`: by queue, where it differs from "pool"."""
    services = services or {}
    advice = {"decide_ms": 5.0, "each_ms": 0.1, "valid_ms": 1500}
    routes = [
        {"name": "q-check", "priority": 0, "extension": 1.5, "advice": advice},
        {"name": "q-rebuild", "priority": 1, "extension": 2.2},
        {"name": "q-scan", "priority": 2, "extension": 4.0},
    ]
    for route in routes:
        queue = route["name"][2:]
        route.update(host=HOST, path_prefix=PREFIXES[queue], max_attempts=MAX_ATTEMPTS[queue],
                     service=services.get(queue, "pool"), kind="non_idempotent", timeout_ms=3000, target_latency_ms=1000)
    return {"version": version, "routes": routes,
            "services": [{"name": name, "rejects_overload": False}
                         for name in sorted({"pool", *services.values()})],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}


# What a process has sent before it is stopped has passed the proxies after this time.
SENT_ARRIVES_S = 0.1

# What the stand-in's workers read from the spec, and the platform does not know.
ONLY_IN_SPEC = ("after", "work_ms", "crashes", "fails", "ends")
# How the runs of long-running tasks end on the stand-in's workers.
ENDS_DONE, ENDS_FAILED, ENDS_IN_EACH_WAY = 1, 2, 3


def step(count=1, cpu=1000, mem_mb=500, work_ms=100, gang=False, after=None, saves=False,
         crashes=False, speculative=False, fails=0):
    """`crashes`: each of its tasks crashes the worker that begins it. `fails`: so many runs of each
    of its tasks fail."""
    return {"crashes": int(crashes), "count": count, "cpu": cpu, "mem_mb": mem_mb, "estimated_ms": work_ms, "gang": gang,
            "after": after or [], "checkpointing": saves, "work_ms": work_ms, "speculative": speculative,
            "fails": fails}


def lasting(count, ends=0, work_ms=100, gang=False):
    """A step of long-running tasks whose runs end after `work_ms` as `ends` says; 0: they go on."""
    return dict(step(count, 500, 200, work_ms, gang), long_running=True, ends=ends)


def job_body(steps, max_attempts=0, **times):
    """The stand-in's workers read what the tasks do from the spec, and judge their attempts by
    `max_attempts` of the queue if it is given. `times` are the fields of a scheduled job."""
    spec = [{k: (int(v) if isinstance(v, bool) else v) for k, v in s.items()} for s in steps]
    for row in spec:
        row["max_attempts"] = max_attempts
    wire = []
    for one in steps:
        row = {k: v for k, v in one.items() if k not in ONLY_IN_SPEC}
        if one["after"]:
            row["after_revision"] = one["after"]
        wire.append(row)
    return json.dumps(dict(times, spec=json.dumps(spec), steps=wire))


class PlatformCell:
    def __init__(self, folder, entries=3, workers=6, worker_connections=0, start_resets=False,
                 others=0, powers=()):
        """`worker_connections`: how many connections a worker accepts; 0: any number.
        `start_resets`: workers are behind proxies that can reset connections after a start.
        `others`: so many of the workers, the last ones, are of the service "pool2".
        `powers`: of the first entries; that of the others is 1."""
        self.folder, self.worker_count = folder, workers
        fronts = workers if worker_connections or start_resets else 0
        ports = free_ports(2 + workers + entries * 4 + fronts)
        self.store = ports[0]
        listed = ports[-fronts] if fronts else ports[2]
        self.platform = Process("platform", "platform", [
            os.path.join(BIN, "standins"), "users-platform", "--port", str(ports[0]),
            "--workers", str(workers), "--other-service", str(others), "--listed-port", str(listed)], "127.0.0.1:%d" % ports[0],
            os.path.join(folder, "platform.log"))
        self.worker_fronts, thread = [], ProxyThread() if fronts else None
        for i in range(fronts):
            front = (StartAnswerResets(listed + i, i) if start_resets
                     else ServerConnections(listed + i, worker_connections))
            front.target = "127.0.0.1:%d" % ports[2 + i]
            thread.add(front)
            self.worker_fronts.append(front)
        self.entries, self.settings = {}, {}
        for i in range(entries):
            mine = ports[2 + workers + i * 4:][:4]
            name = "e%d" % (i + 1)
            values = dict(zip(("callers", "readiness", "peers", "metrics"), mine), name=name,
                          store=ports[0], advice=ports[1], power=powers[i] if i < len(powers) else 1)
            path = os.path.join(folder, name + ".toml")
            self.settings[name] = values
            self.write_settings(name)
            entry = Process(name, "entry", [os.path.join(BIN, "valveshelf"), "serve", "--config", path],
                            "127.0.0.1:%d" % mine[0], os.path.join(folder, name + ".log"))
            entry.readiness = "127.0.0.1:%d" % mine[1]
            entry.metrics = "127.0.0.1:%d" % mine[3]
            self.entries[name] = entry
        self.accepted, self.unclear, self.refused = {}, set(), set()
        self.lock = threading.Lock()
        self.random = random.Random(7)

    def write_settings(self, name):
        with open(os.path.join(self.folder, name + ".toml"), "w") as out:
            out.write(SETTINGS % self.settings[name])

    def point(self, name, **ports):
        """Gives the entry other ports, as from its next start."""
        self.settings[name].update(ports)
        self.write_settings(name)

    def start(self):
        self.platform.start()
        self.wait("the platform serves", lambda: self.control({}) == 200, 10)
        self.control({"configuration": configuration()})
        for entry in self.entries.values():
            entry.start()

    def wait(self, what, holds, seconds):
        limit = time.time() + seconds
        while time.time() < limit:
            if holds():
                return
            time.sleep(0.03)
        raise RuntimeError("waited %d s in vain until %s" % (seconds, what))

    def wait_ready(self, seconds=20):
        for entry in self.entries.values():
            if entry.alive():
                self.wait(entry.name + " is ready",
                          lambda: call(entry.readiness, "GET", "/")[0] == 200, seconds)

    def control(self, what):
        return call(self.platform.address, "POST", "/stand-in", json.dumps(what))[0]

    def verdict(self):
        return json.loads(call(self.platform.address, "GET", "/verdict")[2])

    def alive(self):
        return [e for e in self.entries.values() if e.alive()]

    def ask(self, entry, method, queue, job="", body=None, timeout=4.0, key=None):
        fields = {"Host": HOST, "Content-Type": "application/json"}
        if key is not None:
            fields["Valveshelf-Credential"] = key
        status, headers, answer = call(self.entries[entry].address, method, PREFIXES[queue] + job, body,
                                       fields, timeout)
        return status, headers, answer

    def submit(self, entry, queue, steps, job=None, **times):
        """Hands a job in once and notes what the caller may rely on."""
        with self.lock:
            job = job or "%016x" % self.random.getrandbits(64)
        status, _, _ = self.ask(entry, "POST", queue, job, job_body(steps, MAX_ATTEMPTS.get(queue, 0), **times))
        with self.lock:
            if status == 200:
                self.accepted[job] = queue
            elif status in (429, 503):
                self.refused.add(job)
            else:
                self.unclear.add(job)
        return status, job

    def submit_again(self, entry, queue, steps, seconds=10):
        """Hands a job in until it is accepted, as a caller does whose connection is refused by an
        entry that has just been started. Returns its id."""
        last = [self.submit(entry, queue, steps)]
        job = last[0][1]

        def accepted():
            if last[0][0] != 200:
                last[0] = self.submit(entry, queue, steps, job)
            return last[0][0] == 200

        self.wait("job %s is accepted" % job, accepted, seconds)
        return job

    def state(self, job, entry=None):
        entry = entry or self.alive()[0].name
        status, _, body = self.ask(entry, "GET", self.accepted.get(job, "check"), job)
        return json.loads(body)["state"] if status == 200 else status

    def scheduler(self):
        """The entry that schedules now, or did last."""
        return self.last_term()[1]

    def term(self):
        return self.last_term()[0]

    def last_term(self):
        """The newest term that began, by the entries' logs, and the entry whose it is."""
        best = None
        for entry in self.entries.values():
            for line in open(entry.log, errors="replace") if os.path.exists(entry.log) else []:
                if " term-begun " in line:
                    term = int(line.split("term=")[1].split()[0])
                    best = max(best or (0, ""), (term, entry.name))
        return best or (0, None)

    def count_logged(self, *words):
        """The lines of the entries' logs that have all these words."""
        return sum(all(word in line for word in words) for entry in self.entries.values()
                   if os.path.exists(entry.log) for line in open(entry.log, errors="replace"))

    def flood(self, count, gap=0.01):
        """A mix of jobs over the living entries; returns how many were accepted."""
        before = len(self.accepted)
        for i in range(count):
            names = [e.name for e in self.alive()]
            kind = i % 4
            if kind == 0:
                steps, queue = [step(2, 2000, 800, 150, gang=True)], "rebuild"
            elif kind == 1:
                steps, queue = [step(3, 800, 400, 120, saves=True), step(2, 500, 200, 60, after=[0])], "scan"
            else:
                steps, queue = [step(2, 700, 300, 60)], "check"
            self.submit(names[i % len(names)], queue, steps)
            time.sleep(gap)
        return len(self.accepted) - before

    def finish(self, seconds=40):
        """Waits until each accepted job has ended; returns how many ended in each way."""
        left, ended = dict(self.accepted), {}
        limit = time.time() + seconds
        while left and time.time() < limit:
            for job in list(left):
                state = self.state(job)
                if state in ("completed", "failed", "cancelled"):
                    ended[state] = ended.get(state, 0) + 1
                    del left[job]
            time.sleep(0.05)
        for job in left:
            ended["not ended"] = ended.get("not ended", 0) + 1
            print("not ended: %s is %s" % (job, self.state(job)), file=sys.stderr)
        return ended

    def say_verdict(self, say):
        found = self.verdict()
        say("starts judged: %s, broken rules: %d" % ("some" if found["starts"] else "none",
                                                     len(found["breaks"])))
        for line in found["breaks"]:
            print("broken:", line, file=sys.stderr)
        return not found["breaks"]

    def restart(self, name):
        self.entries[name].start()

    def lose_power(self, name):
        """Ends the scheduler as a loss of power does: its workers see no end of its connections."""
        self.entries[name].signal(signal.SIGSTOP)
        for front in self.worker_fronts:
            front.lose_clients()
        time.sleep(SENT_ARRIVES_S)
        for front in self.worker_fronts:
            front.forget_clients()
        self.entries[name].kill()

    def stop(self, name, seconds=10):
        entry = self.entries[name]
        entry.signal(signal.SIGTERM)
        entry.child.wait(timeout=seconds)
        return entry.child.returncode

    def end(self):
        for process in list(self.entries.values()) + [self.platform]:
            if process.alive():
                process.signal(signal.SIGCONT)
                process.kill()


def put_store_behind_proxies(cell):
    """Starts all entries again, each with a proxy of its own before the store; returns the proxies by
    entry."""
    proxies, thread = {}, ProxyThread()
    for entry in cell.entries.values():
        entry.kill()
        proxies[entry.name] = proxy = Proxy(free_ports(1)[0])
        proxy.target = cell.platform.address
        thread.add(proxy)
        cell.point(entry.name, store=proxy.port)
    for entry in cell.entries.values():
        entry.start()
    cell.wait_ready(30)
    return proxies
