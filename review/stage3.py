# SPDX-License-Identifier: Apache-2.0
"""A small deployment on loopback for the scripts of review/9 to review/13.

The product's processes are started with the command of the deploy file. The platform's store and
the minions are small stand-ins in this process, written from PROTOCOL.md. Where the page is silent
they behave as a sound store or minion does. All that is sent, answered and run goes to record.txt.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PRODUCT = os.environ.get("VALVESHELF", os.path.join(TOP, "target", "bin", "valveshelf"))
HOST = "queue.example"
PREFIX = "/q/"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLD_MAX_MS = 6000
BEAT_S = 1.5
BEGUN = time.monotonic()

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
[process]
threads = 1
power = %(power)s
descriptors = 4200
[bounds]
longest_worker_lease = "6000ms"
stop_time = "200ms"
gang_time = "3000ms"
early_time = "250ms"
state_kept_seconds = 120
stop_grace_seconds = 6
"""


class CannotRun(Exception):
    pass


def free_ports(count):
    sockets = []
    try:
        for _ in range(count):
            one = socket.socket()
            one.bind(("127.0.0.1", 0))
            sockets.append(one)
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - BEGUN, text))


class Http:
    """A server of HTTP/1.1 with keep-alive. The handler returns (status, body) or None: no answer
    on this channel any more."""

    def __init__(self, handler, port):
        self.handler, self.port, self.open = handler, port, set()
        self.refusing = False
        self.refused = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def break_off(self):
        for writer in list(self.open):
            writer.transport.abort()
        self.open.clear()

    async def serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            self.refused.set()
            return
        self.open.add(writer)
        try:
            while True:
                first = await reader.readline()
                if not first:
                    break
                method, target, _ = first.decode().split(" ", 2)
                fields = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    key, _, value = line.partition(":")
                    fields[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                answer = await self.handler(method, target, fields, json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                raw = json.dumps(content, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(raw)) + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()


class Store:
    def __init__(self, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 0, 0
        self.changed = asyncio.Event()
        self.cut = set()          # Names of processes that get no answers.
        self.late = None          # A function of (name, body): seconds until it is done, or None.

    def door(self, name):
        async def handle(method, target, fields, body):
            if name in self.cut:
                return None
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            answer = await self.call(name, method, parts.path, query, body)
            return None if name in self.cut else answer
        return handle

    async def call(self, name, method, path, query, body):
        if path == "/api/kv-key":
            key = query["private_key"]
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, dict(self.shown(key), at=self.revision)
        if path == "/api/kv-range":
            prefix = query.get("path_prefix", "")
            keys = sorted(k for k in self.items if k.startswith(prefix))
            after = query.get("after_revision", "0")
            if after not in ("", "0"):
                keys = [k for k in keys if k > after]
            return 200, {"items": [self.shown(k) for k in keys[:500]], "more": len(keys) > 500,
                         "at": self.revision}
        if path == "/api/kv-watch":
            prefix, after = query.get("path_prefix", ""), int(query["after_revision"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                events = [e for e in self.history[-4000:] if e["revision"] > after
                          and e["private_key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.next_change(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/kv-txn":
            if self.late:
                wait = self.late(name, body)
                if wait is not None:
                    asyncio.get_running_loop().call_later(wait, self.commit, name, body)
                    return None
            return self.commit(name, body)
        if path == "/api/kv-lease":
            self.last_lease += 1
            ttl = int(body["ttl_ms"])
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl / 1000, name]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttl_ms": lease[0]}
        if path.startswith("/api/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def next_change(self):
        if self.changed.is_set():
            self.changed = asyncio.Event()
        return self.changed.wait()

    def shown(self, key):
        item = self.items[key]
        return {"private_key": key, "value": item[0], "revision": item[1], "made": item[2], "lease": item[3]}

    def commit(self, name, body):
        for row in body.get("expected_revision", []):
            there = self.items.get(row["private_key"])
            if (there[1] if there else 0) != int(row.get("revision", 0)):
                return 412, {"items": [self.shown(r["private_key"]) for r in body["expected_revision"]
                                       if r["private_key"] in self.items]}
        for row in body.get("put", []):
            if row.get("lease", 0) and int(row["lease"]) not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("put", []):
            self.put(row["private_key"], row.get("value", ""), int(row.get("lease", 0)), False)
        for key in body.get("remove", []):
            self.remove(key, False)
        self.wake()
        return 200, {"revision": self.revision}

    def put(self, key, value, lease=0, counts=True):
        if counts:
            self.revision += 1
        made = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, made, lease)
        self.history.append(self.shown(key))
        if counts:
            self.wake()

    def remove(self, key, counts=True):
        if key not in self.items:
            return
        if counts:
            self.revision += 1
        del self.items[key]
        self.history.append({"private_key": key, "revision": self.revision, "gone": True})
        if counts:
            self.wake()

    def wake(self):
        self.changed.set()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v[3] == lease]:
            self.remove(key)

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] < now]:
                self.record("store: the lease of %s runs out" % self.leases[lease][2])
                self.end_lease(lease)


class Run:
    def __init__(self, minion, task, number, need, work_s, percent=0):
        self.minion, self.task, self.number, self.need = minion, task, number, need
        self.begun, self.work_s = time.monotonic(), work_s


class Minion:
    """One address; `life` is the minion that answers there now."""
    lives = 0

    def __init__(self, stage, index, port):
        self.stage, self.index, self.port = stage, index, port
        self.http = Http(self.handle, port)
        self.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
        self.labels = ["a", "r%d" % (index // 4)]
        self.service = stage.service_of(index)
        self.up = False
        self.begin()

    def begin(self, keeps_id=False):
        """A new life. With `keeps_id` it comes back under the id it had before, and states `born`."""
        Minion.lives += 1
        if not keeps_id:
            self.id = "i-%04x" % (0x3a10 + Minion.lives * 17)
        self.born = time.monotonic() - 1.0
        self.born_ms = int(time.time() * 1000)
        self.fence, self.until, self.count = 0, 0, 0
        self.runs, self.ended, self.stopped = {}, [], {}
        self.up, self.silent, self.leaves = True, False, None
        self.http.refusing = False
        self.event = asyncio.Event()
        self.stage.record("minion %s begins at port %d" % (self.id, self.port))
        if keeps_id:
            asyncio.get_running_loop().call_later(self.stage.first_check_in_s, self.list)
        else:
            self.list()

    def list(self):
        value = {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": "z1", "version": "v1",
                 "slots": 8, "state": "draining" if self.leaves else "ready", "sequence": 1, "capacity": self.capacity, "labels": self.labels}
        if self.stage.states_born:
            value["born"] = self.born_ms
        if self.leaves:
            value["remaining_ms"] = int((self.leaves - time.monotonic()) * 1000)
        self.stage.store.put("servers/" + self.id, base64.b64encode(json.dumps(value).encode()).decode())

    async def begin_after_refusal(self, keeps_id):
        self.http.refused.clear()
        await self.http.refused.wait()
        self.begin(keeps_id)

    def crash(self, down_s, keeps_id=False, after_refusal=False):
        """The process dies; another begins at the address, under a new id or, with `keeps_id`, under
        the one it had; with `after_refusal` right after the next connection was refused. The old
        entry goes after three check-ins of silence."""
        self.stage.record("minion %s crashes, under %s" % (self.id, sorted("%s run %d" % k for k in self.runs)))
        old, self.up = self.id, False
        self.http.refusing = True
        self.http.break_off()
        self.runs = {}
        loop = asyncio.get_running_loop()
        if not keeps_id:
            loop.call_later(3 * BEAT_S, self.stage.store.remove, "servers/" + old)
        if after_refusal:
            loop.call_later(down_s, lambda: self.stage.tasks.append(
                asyncio.ensure_future(self.begin_after_refusal(keeps_id))))
        else:
            loop.call_later(down_s, self.begin, keeps_id)

    def drain(self, seconds):
        """A planned end: the minion says `draining`, works on for that time, and then it is gone."""
        self.stage.record("minion %s says draining, and leaves in %.1f s" % (self.id, seconds))
        self.leaves = time.monotonic() + seconds
        self.list()
        asyncio.get_running_loop().call_later(seconds, self.leave)

    def leave(self):
        self.stage.record("minion %s leaves, under %s" % (self.id, sorted("%s run %d" % k for k in self.runs)))
        self.up, self.http.refusing, self.runs = False, True, {}
        self.http.break_off()
        self.stage.store.remove("servers/" + self.id)

    def clock(self):
        return int((time.monotonic() - self.born) * 1000)

    def end(self, key, how):
        run = self.runs.pop(key)
        self.count += 1
        self.ended.append([self.count, key[0], key[1], how, ""])
        self.stage.record("minion %s: %s run %d ends %s after %.2f s" % (self.id, key[0], key[1], how,
                                                                        time.monotonic() - run.begun))
        if how == "done":
            self.stage.done.setdefault(key[0], time.monotonic())
        elif how == "failed":
            self.stage.failed[key[0]] = self.stage.failed.get(key[0], 0) + 1
        self.event.set()
        self.event = asyncio.Event()

    def step(self):
        if not self.up:
            return
        now = time.monotonic()
        if self.clock() > self.until:
            for key in list(self.runs):
                self.end(key, "lapsed")
        for key, run in list(self.runs.items()):
            if now - run.begun >= run.work_s:
                self.end(key, "done")

    async def handle(self, method, target, fields, body):
        life = self.id
        if self.silent:
            return None
        if fields.get("valveshelf-expect-instance") not in (None, self.id):
            return 421, {}
        if target == "/health":
            return 200, {}
        if self.stage.is_left and self.stage.is_left(self, target, body):
            return None
        return await self.carry_out(target, body)

    async def carry_out(self, target, body):
        life = self.id
        fence = int(body.get("fencing_token", 0))
        clock = {"clock_ms": self.clock()}
        if fence < self.fence:
            return 409, dict(clock, reason="fence")
        self.fence = fence
        if "until_ms" in body:
            self.until = max(self.until, min(int(body["until_ms"]), self.clock() + HOLD_MAX_MS))
        if target == "/api/run-start":
            return self.start(body, clock)
        if target == "/api/run-stop":
            key = (body["task"], int(body["run_id"]))
            self.stopped[key[0]] = max(self.stopped.get(key[0], 0), key[1])
            self.stage.record("minion %s: told to stop %s run %d" % ((self.id,) + key))
            if key in self.runs:
                asyncio.get_running_loop().call_later(0.05, lambda: key in self.runs and self.end(key, "stopped"))
            return 200, clock
        if target == "/api/hold":
            seen = int(body.get("last_seen", 0))
            for end in self.ended:
                if end[0] <= seen:
                    self.stage.record("minion %s forgets end %d: %s run %d %s" % ((self.id,) + tuple(end[:4])))
                    if end[3] == "done":
                        self.stage.noted.add(end[1])
            self.ended = [e for e in self.ended if e[0] > seen]
            wait = min(int(body.get("wait_ms", 0)), 2000) / 1000
            if not self.ended and wait:
                try:
                    await asyncio.wait_for(self.event.wait(), wait)
                except asyncio.TimeoutError:
                    pass
                if self.id != life or not self.up or self.silent:
                    return None
            now = time.monotonic()
            born = {"born": self.born_ms} if self.stage.states_born else {}
            return 200, {"clock_ms": self.clock(), **born,
                         "active": [[k[0], k[1], "", min(99, int(100 * (now - r.begun) / r.work_s))]
                                    for k, r in self.runs.items()],
                         "ended_at": self.ended[:500]}
        return 404, {}

    def start(self, body, clock):
        key = (body["task"], int(body["run_id"]))
        if key in self.runs:
            return 200, clock
        if key[1] <= self.stopped.get(key[0], 0) or any(k[0] == key[0] and k[1] >= key[1] for k in self.runs):
            return 409, dict(clock, reason="old")
        if int(body["until_ms"]) <= clock["clock_ms"]:
            return 409, dict(clock, reason="late")
        job, _, step, _ = key[0].split(".")
        spec = json.loads(body["spec"])[int(step)]
        self.runs[key] = Run(self, key[0], key[1], spec, spec["work_s"])
        self.stopped[key[0]] = key[1]
        self.stage.record("minion %s: starts %s run %d (fence %d)" % (self.id, key[0], key[1], body["fencing_token"]))
        self.stage.began(self, key)
        return 200, clock


class Stage:
    def __init__(self, folder, processes=3, minions=6, service_of=lambda index: "pool",
                 states_born=False, powers=(0.25,)):
        self.states_born = states_born
        self.first_check_in_s = 0.3   # Of a life that keeps the id of the one before.
        self.is_left = None   # Of (minion, target, body): true if the call is left unanswered.
        self.service_of = service_of
        self.record = Record(folder)
        self.scratch = tempfile.mkdtemp(prefix="valveshelf-review-")
        self.store = Store(self.record)
        self.names = ["f%d" % (i + 1) for i in range(processes)]
        ports = free_ports(processes * 5 + minions)
        self.ports = {n: dict(zip(("callers", "readiness", "peers", "metrics", "store"), ports[i * 5:]), name=n,
                              power=powers[i % len(powers)])
                      for i, n in enumerate(self.names)}
        self.minion_ports = ports[processes * 5:]
        self.children, self.doors = {}, {}
        self.done, self.failed, self.starts, self.broken = {}, {}, [], []
        self.noted = set()        # Tasks with an end `done` that has been taken note of.

    async def __aenter__(self):
        if not os.access(PRODUCT, os.X_OK):
            raise CannotRun("no program at target/bin/valveshelf: run the build of the deploy file first")
        self.configure(3)
        for name in self.names:
            self.doors[name] = Http(self.store.door(name), self.ports[name]["store"])
            await self.doors[name].start()
        self.minions = [Minion(self, i, p) for i, p in enumerate(self.minion_ports)]
        for minion in self.minions:
            await minion.http.start()
        self.tasks = [asyncio.ensure_future(self.store.run()), asyncio.ensure_future(self.tick())]
        for name in self.names:
            await self.start(name)
        for name in self.names:
            await self.until(name + " is ready", lambda name=name: self.ready(name), 20)
        return self

    def configure(self, version, service="pool", services=("pool", "pool2"), timeout_ms=3000, **more):
        """The operator writes a configuration; the store's answer is the ack."""
        route = {"name": "q-one", "host": HOST, "path_prefix": PREFIX, "service": service,
                 "kind": "non_idempotent", "timeout_ms": timeout_ms, "priority": 1, "max_attempts": 3,
                 "extension": 2.2, "target_latency_ms": 1000}
        config = {"version": version, "routes": [dict(route, **more)],
                  "services": [{"name": name, "rejects_overload": False} for name in services],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}
        self.store.put("op/config", base64.b64encode(json.dumps(config).encode()).decode())
        self.record("operator: version %d is acknowledged: the queue is run by %s; services %s"
                    % (version, service, ", ".join(services)))

    async def __aexit__(self, *_):
        for child in self.children.values():
            if child.returncode is None:
                child.kill()
                await child.wait()
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.scratch, ignore_errors=True)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for minion in self.minions:
                minion.step()

    async def start(self, name):
        path = os.path.join(self.scratch, name + ".toml")
        with open(path, "w") as out:
            out.write(SETTINGS % self.ports[name])
        log = open(os.path.join(self.scratch, name + ".log"), "ab")
        self.children[name] = await asyncio.create_subprocess_exec(
            PRODUCT, "serve", "--config", path, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record("%s is started" % name)

    async def kill(self, name):
        self.record("%s is killed" % name)
        self.children[name].kill()
        await self.children[name].wait()

    def log(self, name):
        with open(os.path.join(self.scratch, name + ".log"), errors="replace") as file:
            return file.read()

    def began(self, minion, key):
        self.starts.append((time.monotonic(), key, minion.id))
        if key[0] in self.noted:
            self.break_rule("%s run %d is started %.2f s after a run of the task has ended done, an end that was "
                            "taken note of" % (key[0], key[1], time.monotonic() - self.done[key[0]]))
        for other in self.minions:
            for there in other.runs:
                if other.up and there[0] == key[0] and (other is not minion or there != key):
                    self.break_rule("%s runs twice: run %d on %s beside run %d on %s"
                                    % (key[0], key[1], minion.id, there[1], other.id))

    def break_rule(self, text):
        self.record("BROKEN: " + text)
        self.broken.append(text)

    async def until(self, what, holds, seconds, fails=CannotRun):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            result = holds()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        if fails:
            raise fails("waited %d s in vain until %s" % (seconds, what))
        return None

    async def http(self, port, method, target, body=None, seconds=3.0):
        async def go():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                raw = json.dumps(body).encode() if body is not None else b""
                writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                              "Valveshelf-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n"
                              % (method, target, HOST, len(raw))).encode() + raw)
                status = int((await reader.readline()).split()[1])
                size = 0
                while True:
                    line = (await reader.readline()).decode().strip().lower()
                    if not line:
                        break
                    if line.startswith("content-length:"):
                        size = int(line[15:])
                content = await reader.readexactly(size)
                return status, json.loads(content) if content else {}
            finally:
                writer.transport.abort()
        try:
            return await asyncio.wait_for(go(), seconds)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return 0, {}

    async def ready(self, name):
        return (await self.http(self.ports[name]["readiness"], "GET", "/"))[0] == 200

    async def ask(self, name, method, job="", body=None, quiet=False):
        status, answer = await self.http(self.ports[name]["callers"], method, PREFIX + job, body)
        if not quiet:
            self.record("client: %s %s%s at %s -> %d %s" % (method, PREFIX, job, name, status,
                                                           json.dumps(answer) if answer else ""))
        return status, answer

    async def submit(self, name, steps, job=None, **more):
        """Steps hold `work_s`, which only the minions read, from the spec."""
        job = job or "%016x" % random.SystemRandom().getrandbits(64)
        wire = [{k: v for k, v in s.items() if k != "work_s"} for s in steps]
        body = dict(more, spec=json.dumps([{"work_s": s["work_s"]} for s in steps]), steps=wire)
        status, _ = await self.ask(name, "POST", job, body)
        return status, job

    async def state(self, name, job):
        status, answer = await self.ask(name, "GET", job, quiet=True)
        return answer.get("state", "") if status == 200 else str(status)

    def where(self, job):
        """The minions that run tasks of the job now, with the runs."""
        return [(m, k) for m in self.minions for k in m.runs if k[0].startswith(job)]


def main(folder, scenario, **sizes):
    async def go():
        stage = Stage(folder, **sizes)
        stage.record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
        try:
            async with stage:
                await asyncio.wait_for(scenario(stage), 100)
            result = 1 if stage.broken else 0
        except (CannotRun, asyncio.TimeoutError) as failure:
            stage.record("could not run: %s" % (failure or "it took too long"))
            result = 2
        stage.record({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[result])
        return result
    sys.exit(asyncio.run(go()))
