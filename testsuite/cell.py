# SPDX-License-Identifier: Apache-2.0
"""A whole cell on loopback: stand-ins, entry processes, callers, faults and records.

Used by scripts/demo, scripts/faults and the sessions of the test suite. Every process is a
child of this one and is ended by its own id.
"""
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import threading
import time

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.environ.get("VALVESHELF_BIN", os.path.join(TOP, "build", "bin"))
TOKENS = {"olano": "olano-demo", "kitami": "kitami-demo"}


def now_ms():
    return int(time.time() * 1000)


def call(address, method, target, body=None, headers=None, timeout=10.0):
    """One HTTP call. Returns (status, headers, body); status 0 if it broke off."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as failure:
        return 0, {"failure": str(failure)}, getattr(failure, "partial", b"")
    finally:
        connection.close()


def free_ports(count):
    """Ports that nothing listens on now, all from one range."""
    for _ in range(50):
        base = random.SystemRandom().randrange(20000, 30000 - count)
        sockets = []
        try:
            for port in range(base, base + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free ports")


class Process:
    def __init__(self, name, kind, args, address, log):
        self.name, self.kind, self.args, self.address, self.log = name, kind, args, address, log
        self.child = None

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.args, stdout=out, stderr=out, stdin=subprocess.DEVNULL)

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()


class Cell:
    """The demo's cell: `entries` entry processes, `racks` racks, upstreams and the platform."""

    def __init__(self, folder, entries=3, racks=2, workers_per_rack=3, upstreams=4, shards=4,
                 milli_cores=8000, memory_mb=16384, timing=None, box_lag_ms=500, writes=100):
        self.folder = folder
        os.makedirs(folder, exist_ok=True)
        self.records = os.path.join(folder, "records")
        os.makedirs(self.records, exist_ok=True)
        self.lock = threading.Lock()
        self.driver = open(os.path.join(self.records, "driver.jsonl"), "a", buffering=1)
        self.processes = {}
        self.out = set()
        self.timing = timing or {}
        self.shards, self.milli_cores, self.memory_mb = shards, milli_cores, memory_mb
        ports = iter(free_ports(3 + entries * 4 + racks * workers_per_rack + upstreams))
        address = lambda: "127.0.0.1:%d" % next(ports)
        self.store, self.boxes = address(), address()
        # One address of the store an entry process, so that each can be cut off by itself.
        self.store_of = {"e%d" % (n + 1): address() for n in range(entries)}
        self._standin("store", "store", ",".join([self.store] + list(self.store_of.values())),
                      writes=writes)
        self.processes["store"].address = self.store
        boxes = []
        self.workers, self.upstreams, self.entries = [], [], []
        for rack in range(racks):
            for number in range(workers_per_rack):
                name, at = "w%d-%d" % (rack + 1, number + 1), address()
                self._standin("worker", name, at, **{"milli-cores": milli_cores, "memory-mb": memory_mb})
                boxes.append({"name": name, "kind": "worker", "address": at, "state": "live",
                              "zone": "cantabria-1" if rack % 2 == 0 else "dohoku-1",
                              "rack": "rack-%d" % (rack + 1), "milli_cores": milli_cores,
                              "memory_mb": memory_mb, "accelerators": 0,
                              "labels": {"partner": "olano" if rack % 2 == 0 else "kitami"}})
                self.workers.append(name)
        for number in range(upstreams):
            name, at = "u%d" % (number + 1), address()
            self._standin("upstream", name, at)
            boxes.append({"name": name, "kind": "upstream", "address": at, "state": "live",
                          "service": "registry" if number % 2 == 0 else "catalogue",
                          "zone": "cantabria-1" if number % 2 == 0 else "dohoku-1", "rack": "",
                          "labels": {}})
            self.upstreams.append(name)
        addresses = [[address(), address(), address()] for _ in range(entries)]
        for number in range(entries):
            boxes.append({"name": "e%d" % (number + 1), "kind": "entry", "state": "live",
                          "address": addresses[number][2], "zone": "", "rack": "", "labels": {}})
        self.box_file = os.path.join(folder, "boxes.json")
        with open(self.box_file, "w") as out:
            json.dump({"boxes": boxes}, out)
        self._standin("boxes", "boxes", self.boxes, file=self.box_file, **{"lag-ms": box_lag_ms})
        for number in range(entries):
            self._entry("e%d" % (number + 1), number, addresses[number])

    def _standin(self, part, name, at, **options):
        args = [os.path.join(BIN, "standins"), part, "--listen", at, "--name", name, "--trace",
                os.path.join(self.records, name + ".jsonl")]
        for key, value in options.items():
            args += ["--" + key, str(value)]
        self.processes[name] = Process(name, part, args, at, os.path.join(self.folder, name + ".log"))

    def _entry(self, name, number, addresses):
        path = os.path.join(self.folder, name + ".toml")
        partner = "olano" if number % 2 == 0 else "kitami"
        zone = "cantabria-%d" % (number // 2 + 1) if number % 2 == 0 else "dohoku-%d" % (number // 2 + 1)
        timing = "".join('%s = "%s"\n' % item for item in self.timing.items())
        tokens = "".join('%s = "%s"\n' % item for item in TOKENS.items())
        with open(path, "w") as out:
            out.write('[member]\nname = "%s"\npartner = "%s"\nzone = "%s"\n\n' % (name, partner, zone))
            out.write('[listen]\ncallers = "%s"\noperators = "%s"\npeers = "%s"\n\n' % tuple(addresses))
            out.write('[platform]\nstore = "%s"\nboxes = "%s"\n\n' % (self.store_of[name], self.boxes))
            out.write("[cell]\nshards = %d\n\n[timing]\n%s\n[operators]\n%s" % (self.shards, timing, tokens))
        process = Process(name, "entry", [os.path.join(BIN, "valveshelf"), "entry", "--config", path],
                          addresses[0], os.path.join(self.folder, name + ".log"))
        process.callers, process.operators, process.peers = addresses
        self.processes[name] = process
        self.entries.append(name)

    # ---- Life.

    def start(self):
        for name, process in self.processes.items():
            if process.kind != "entry":
                process.start()
        self.wait("the stand-ins listen", lambda: all(
            listening(p.address) for p in self.processes.values() if p.kind != "entry"), 10)
        for name in self.entries:
            self.processes[name].start()

    def wait_ready(self, seconds=20):
        self.wait("all entry processes are ready and all shards owned", lambda: self.settled(), seconds)

    def settled(self):
        alive = [n for n in self.entries if self.processes[n].alive()]
        owned = set()
        for name in alive:
            status, _, body = call(self.processes[name].operators, "GET", "/v1/members", timeout=1)
            ready, _, _ = call(self.processes[name].operators, "GET", "/ready", timeout=1)
            if status != 200 or ready != 200:
                return False
            members = json.loads(body)["members"]
            if sorted(m["name"] for m in members) != sorted(alive):
                return False
            owned = {s for m in members for s in m["shards"]}
            if len(owned) != self.shards:
                return False
        return len(owned) == self.shards

    def wait(self, what, condition, seconds):
        deadline = time.time() + seconds
        while time.time() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError("waited %s s in vain until %s" % (seconds, what))

    def end(self):
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.kill()
        self.driver.close()

    # ---- Records and faults.

    def note(self, **record):
        record.setdefault("ts", now_ms())
        record.setdefault("who", "driver")
        with self.lock:
            if not self.driver.closed:
                self.driver.write(json.dumps(record) + "\n")

    def kill(self, name):
        self.processes[name].kill()
        self.note(type="killed", name=name)

    def restart(self, name):
        self.processes[name].start()
        self.note(type="started", name=name)

    def freeze(self, name):
        self.out.add(name)
        self.processes[name].signal(signal.SIGSTOP)
        self.note(type="frozen", name=name)

    def thaw(self, name):
        self.processes[name].signal(signal.SIGCONT)
        self.out.discard(name)
        self.note(type="thawed", name=name)

    def planned_stop(self, name, seconds=40):
        began = now_ms()
        process = self.processes[name]
        process.signal(signal.SIGTERM)
        code = process.child.wait(timeout=seconds)
        self.note(type="planned-stop", name=name, began=began, exit=code)
        return code

    def fault(self, name, **faults):
        for address in [self.processes[name].address] + (
                list(self.store_of.values()) if name == "store" else []):
            call(address, "POST", "/faults", json.dumps(faults))
        self.note(type="fault", name=name, faults=faults)

    def cut_from_store(self, name, cut):
        call(self.store_of[name], "POST", "/faults", json.dumps({"outage": cut}))
        self.note(type="fault", name=name, faults={"cut_from_store": cut})

    def box_state(self, name, state):
        call(self.boxes, "POST", "/box", json.dumps({"name": name, "state": state}))
        if state == "leaving":
            self.note(type="leaving", name=name)

    # ---- Callers and operators.

    def any_entry(self):
        # As the platform's balancer would: not one that is dead, frozen or stopping.
        alive = [n for n in self.entries if self.processes[n].alive() and n not in self.out]
        return random.choice(alive)

    def request(self, path, request_id, entry=None, repeatable=False, body=None, bytes_wanted=200,
                work_ms=2, timeout=10.0):
        entry = entry or self.any_entry()
        began = now_ms()
        status, headers, got = call(
            self.processes[entry].callers, "POST" if body else "GET",
            "/svc%s?work_ms=%d&bytes=%d" % (path, work_ms, bytes_wanted), body,
            {"X-Request-Id": request_id}, timeout)
        record = dict(type="request", id=request_id, entry=entry, began=began, status=status,
                      repeatable=repeatable, expected=bytes_wanted)
        try:
            answer = json.loads(got) if status == 200 else {}
        except ValueError:
            answer = None
        record["outcome"] = headers.get("Valveshelf-Outcome", "unknown")
        record["cut"] = status == 0 and "refused" not in headers.get("failure", "")
        if status == 0 and "refused" in headers.get("failure", ""):
            record["outcome"] = "not-reached"
        if status == 200:
            record["whole"] = True
            record["body_id"] = (answer or {}).get("id", "")
            record["got"] = len((answer or {}).get("filler", ""))
        self.note(**record)
        return record

    def submit(self, job, entry=None, timeout=12.0):
        """Submits a job; asks again for the same id while the outcome is unknown."""
        job.setdefault("id", "j-%08x" % random.getrandbits(32))
        record = dict(type="job", id=job["id"], repeatable=job.get("repeatable", True),
                      count=job.get("count", 1))
        for _ in range(10):
            name = entry if entry and self.processes[entry].alive() else self.any_entry()
            status, headers, body = call(self.processes[name].callers, "POST", "/v1/jobs",
                                         json.dumps(job), timeout=timeout)
            record["outcome"] = ("accepted" if status == 201
                                 else headers.get("Valveshelf-Outcome", "unknown"))
            record["status"] = status
            record["detail"] = body.decode(errors="replace")[:300]
            if record["outcome"] != "unknown" and status != 0:
                break
            time.sleep(0.3)
        self.note(**record)
        return record

    def status(self, job, entry=None):
        name = entry or self.any_entry()
        status, _, body = call(self.processes[name].callers, "GET", "/v1/jobs/" + job, timeout=10)
        return json.loads(body) if status == 200 else {"state": "http %d" % status, "tasks": []}

    def cancel(self, job, entry=None):
        name = entry or self.any_entry()
        status, _, _ = call(self.processes[name].callers, "DELETE", "/v1/jobs/" + job, timeout=12)
        return status

    def wait_ended(self, jobs, seconds):
        """Waits until all jobs have ended; notes each one's end for the auditor."""
        left, last = set(jobs), {}
        deadline = time.time() + seconds
        while left and time.time() < deadline:
            for job in sorted(left):
                try:
                    last[job] = self.status(job)
                except ValueError:
                    continue
                if last[job]["state"] == "ended":
                    self.note(type="job-final", id=job, state="ended",
                              outcomes=last[job].get("outcomes", {}))
                    left.discard(job)
            time.sleep(0.1)
        for job in left:
            self.note(type="job-final", id=job, state=last.get(job, {}).get("state", "unknown"))
        return left

    def apply_config(self, partner, text, entry=None, base=None, change=None):
        process = self.processes[entry or self.any_entry()]
        if base is None:
            _, _, body = call(process.operators, "GET", "/v1/config")
            base = json.loads(body)["parts"].get(partner, {}).get("version", 0)
        target = "/v1/config/%s?base=%d" % (partner, base) + ("&id=" + change if change else "")
        status, headers, body = call(process.operators, "PUT", target, text,
                                     {"Authorization": "Bearer " + TOKENS[partner]}, timeout=12)
        if status == 200:
            version = json.loads(body)["version"]
            self.note(type="config-accepted", partner=partner, version=version)
            return version
        return None if status == 0 else "%d %s" % (status, body.decode(errors="replace").strip())

    def see_config(self):
        """Notes and returns the version in force at each living entry process."""
        seen = {}
        for name in self.entries:
            process = self.processes[name]
            if not process.alive():
                continue
            asked = now_ms()
            status, _, body = call(process.operators, "GET", "/v1/config", timeout=1)
            if status == 200:
                seen[name] = json.loads(body)["version"]
                self.note(type="config-seen", name=name, version=seen[name], ts=asked,
                          incarnation="%s-%d" % (name, process.child.pid))
        return seen

    def audit(self):
        self.driver.flush()
        return subprocess.run([os.path.join(BIN, "standins"), "audit", self.records]).returncode


def listening(address):
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
        return True
    except OSError:
        return False


OLANO = """# Olano's part of the demo's configuration.
[[service]]
name = "registry"
slots = 8
connections = 64

[[route]]
prefix = "/registry"
service = "registry"
class = "quick"
deadline = "2s"

[placement]
spread = 0.8
pack = 0.2

[[objective]]
name = "quick checks start at once"
class = "quick"
waiting_time = "200ms"
target = 0.99
"""

KITAMI = """# Kitami's part of the demo's configuration.
[[service]]
name = "catalogue"

[[route]]
prefix = "/catalogue"
service = "catalogue"
class = "quick"
repeatable = true
deadline = "5s"

[placement]
spread = 0.1
pack = 0.9
"""
