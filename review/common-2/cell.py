# SPDX-License-Identifier: Apache-2.0
"""A small deployment on loopback for the review's scripts: the platform's store, the workers, and
processes of the project that are started with the command of the deploy file.

Store and workers follow PROTOCOL.md and behave like sound ones where it is silent. Everything but
the project's own processes runs in one event loop. `Record` keeps what was sent, answered and run.
"""
import asyncio
import base64
import collections
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "queue.example"
HISTORY = 20000

BOUNDS = {"hold_max_ms": 6000, "stop_ms": 200, "gang_ms": 3000, "early_ms": 250, "status_s": 120,
          "grace_period_s": 6, "contact_timeout_ms": 3000, "visible_ms": 3000,
          "drain_timeout_ms": 2000, "config_apply_ms": 2000}


class Record:
    """Lines of text with the time since the start."""

    def __init__(self, path):
        self.out, self.begun = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def say(self, text):
        self.out.write("%8.3f  %s\n" % (self.now(), text))
        self.out.flush()


# Scripts that run beside each other take their ports from different places, all below those that the
# system gives to outgoing connections.
NEXT_PORT = [20000 + os.getpid() * 32 % 11900]


def free_ports(count):
    ports = []
    while len(ports) < count:
        NEXT_PORT[0] = 20000 if NEXT_PORT[0] > 32000 else NEXT_PORT[0] + 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", NEXT_PORT[0]))
                ports.append(NEXT_PORT[0])
            except OSError:
                pass
    return ports


class Signal:
    """Wakes all that wait."""

    def __init__(self):
        self.waiting = set()

    def notify(self):
        for future in self.waiting:
            if not future.done():
                future.set_result(None)
        self.waiting.clear()

    async def wait(self, seconds):
        future = asyncio.get_running_loop().create_future()
        self.waiting.add(future)
        await asyncio.wait({future}, timeout=max(0.001, seconds))
        self.waiting.discard(future)


async def read_message(reader):
    """The head and the body of one HTTP message, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"content-length: *(\d+)", head, re.I)
        body = await reader.readexactly(int(length.group(1))) if length else b""
    except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError):
        return None
    return head.decode(), body


class Server:
    """An HTTP/1.1 server. `handle(method, path, query, headers, body)` returns (status, object), or
    None for a call that gets no answer."""

    def __init__(self, port, handle):
        self.port, self.handle = port, handle
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 24)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                head, body = message
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, v in
                           (line.split(":", 1) for line in lines[1:] if ":" in line)}
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def stop(self):
        if self.server:
            self.server.close()
        self.reset_all()


class Store:
    """The platform's key-value store."""

    def __init__(self, port):
        self.items, self.history = {}, collections.deque(maxlen=HISTORY)
        self.leases, self.revision, self.last_lease = {}, 0, 0
        self.changed = Signal()
        self.server = Server(port, self.handle)
        # Of a test: for a call (path, body), after how many seconds it is carried out without an
        # answer; None for a call that is carried out and answered at once.
        self.late_by = lambda path, body: None

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire_loop())

    def write(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        made = self.items[key]["made"] if key in self.items else revision
        self.items[key] = {"private_key": key, "value": value, "revision": revision, "made": made,
                           "lease": lease}
        self.history.append(dict(self.items[key]))

    def remove(self, key, revision=None):
        if self.items.pop(key, None) is None:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        self.history.append({"private_key": key, "revision": revision, "gone": True})

    async def put(self, key, value):
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.changed.notify()

    async def delete(self, key):
        self.remove(key)
        self.changed.notify()

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.01)
            over = [lease for lease, (_, end) in self.leases.items() if time.monotonic() > end]
            for lease in over:
                self.end_lease(lease)
            if over:
                self.changed.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, method, path, query, headers, body):
        late = self.late_by(path, body)
        if late is None:
            return await self.carry_out(method, path, query, body)
        asyncio.get_running_loop().call_later(
            late, lambda: asyncio.ensure_future(self.carry_out(method, path, query, body)))
        return None

    async def carry_out(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["private_key"])
            return (200, dict(item, at=self.revision)) if item else (404, {})
        if path == "/api/kv-range":
            return self.range(query)
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            answer = self.commit(json.loads(body))
            self.changed.notify()
            return answer
        if path == "/api/kv-lease":
            self.last_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        if path.startswith("/api/kv-keep/"):
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        self.changed.notify()
        return 200, {}

    def range(self, query):
        prefix, after = query["path_prefix"], query.get("after_revision", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {"items": [self.items[k] for k in keys[:500]], "more": len(keys) > 500,
                     "at": self.revision}

    async def watch(self, query):
        prefix, after = query["path_prefix"], int(query["after_revision"])
        limit = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["private_key"].startswith(prefix)]
            left = limit - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            await self.changed.wait(left)

    def commit(self, what):
        conditions = what.get("expected_revision", [])
        if len(conditions) + len(what.get("put", [])) + len(what.get("remove", [])) > 32:
            return 400, {}
        standing = {row["private_key"]: self.items.get(row["private_key"]) for row in conditions}
        if any((standing[row["private_key"]] or {"revision": 0})["revision"] != row["revision"]
               for row in conditions):
            return 412, {"items": [item for item in standing.values() if item]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in what.get("put", [])):
            return 404, {}
        self.revision += 1
        for row in what.get("put", []):
            self.write(row["private_key"], row["value"], row.get("lease", 0), self.revision)
        for key in what.get("remove", []):
            self.remove(key, self.revision)
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, task, number, plan, saved):
        self.task, self.number, self.plan, self.saved = task, number, plan, saved
        self.begun, self.stop_at = time.monotonic(), None
        self.done_before = float(saved) if saved else 0.0

    def worked(self):
        return self.done_before + time.monotonic() - self.begun

    def percent(self):
        if self.plan.get("long_running"):
            return 100
        return min(99, int(100 * self.worked() / self.plan["work_s"]))


class Worker:
    """One machine of the pool and its present life. A life that crashes loses everything; the next
    one has a new id."""

    def __init__(self, cell, index, port):
        self.cell, self.index, self.port, self.lives = cell, index, port, 0
        self.server = Server(port, self.handle)
        self.alive, self.mute, self.kind = False, False, "a"
        self.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}

    async def begin_life(self):
        self.lives += 1
        self.id = "m%d-%d" % (self.index, self.lives)
        self.born, self.fence, self.lease_until = time.monotonic(), 0, 0.0
        self.runs, self.barred, self.ended, self.last_end = {}, {}, [], 0
        self.draining, self.alive = False, True
        self.wake = Signal()
        await self.server.stop()
        self.server = Server(self.port, self.handle)
        await self.server.start()
        await self.list()
        self.cell.record.say("worker %s begins" % self.id)

    def clock(self):
        return 1000 + int((time.monotonic() - self.born) * 1000)

    async def list(self):
        await self.cell.store.put("servers/" + self.id, {
            "service": "pool", "address": "127.0.0.1:%d" % self.port, "zone": "z1", "version": "v1",
            "slots": 8, "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0,
            "sequence": 1, "machine": "machine-%d" % self.index, "labels": [self.kind, "r%d" % (self.index // 4)],
            "capacity": self.capacity})

    async def crash(self, dark=False):
        """A crash, which closes its connections, or a loss of power (`dark`), after which nothing is
        heard of it. Its entry goes after three check-ins."""
        self.cell.record.say("worker %s crashes, %d runs are lost: %s" % (
            self.id, len(self.runs), " ".join("%s/%d" % (r.task, r.number) for r in self.runs.values())))
        self.alive = False
        self.runs = {}
        lost = self.id
        if not dark:
            await self.server.stop()
        asyncio.get_running_loop().call_later(
            4.5, lambda: asyncio.ensure_future(self.cell.store.delete("servers/" + lost)))

    async def advance(self):
        now, changed = time.monotonic(), False
        for run in list(self.runs.values()):
            how = None
            if self.clock() > self.lease_until:
                how = "lapsed"
            elif run.stop_at is not None and now >= run.stop_at:
                how = "stopped"
            elif not run.plan.get("long_running") and run.worked() >= run.plan["work_s"]:
                how = "failed" if run.plan.get("fails") else "done"
            if how:
                self.end(run, how)
                changed = True
        if changed:
            self.wake.notify()

    def end(self, run, how):
        del self.runs[run.task, run.number]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.last_end += 1
        saved = "%.3f" % run.worked() if run.plan.get("checkpointing") and how != "done" else ""
        self.ended.append([self.last_end, run.task, run.number, how, saved])
        self.cell.record.say("worker %s: run %s/%d ends %s" % (self.id, run.task, run.number, how))
        self.cell.ends.append((run.task, run.number, how, self.cell.record.now()))

    def extend(self, until):
        if until is not None:
            self.lease_until = max(self.lease_until, min(until, self.clock() + BOUNDS["hold_max_ms"]))

    async def handle(self, method, path, query, headers, body):
        if not self.alive:
            return None
        if headers.get("valveshelf-expect-instance") != self.id:
            return 421, {}
        order, life = json.loads(body), self.id
        if self.cell.on_order:
            await self.cell.on_order(self, path, order)
            if self.id != life or not self.alive:
                return None
        fence = order.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = fence
        answer = await getattr(self, path.rsplit("/", 1)[1].replace("-", "_"))(order)
        return None if self.mute or self.id != life or not self.alive else answer

    async def run_start(self, order):
        task, number = order["task"], order["run_id"]
        late = order["until_ms"] < self.clock()
        if not late:
            self.extend(order["until_ms"])
        old = number <= self.barred.get(task, 0)
        reason = "late" if late else "old" if old else None
        if (task, number) in self.runs:
            reason = None
        elif reason is None:
            plan = self.cell.plan_of(task)
            self.runs[task, number] = Run(task, number, plan, order.get("checkpoint", ""))
            self.cell.record.say("worker %s: run %s/%d begins" % (self.id, task, number))
            self.cell.starts.append((task, number, self.id, self.cell.record.now()))
        if reason:
            return 409, {"clock_ms": self.clock(), "reason": reason}
        return 200, {"clock_ms": self.clock()}

    async def run_stop(self, order):
        task, number = order["task"], order["run_id"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get((task, number))
        if run and run.stop_at is None:
            run.stop_at = time.monotonic() + 0.02
        return 200, {"clock_ms": self.clock()}

    async def hold(self, order):
        self.extend(order.get("until_ms"))
        self.ended = [e for e in self.ended if e[0] > order.get("last_seen", 0)]
        limit = time.monotonic() + order.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < limit:
            await self.wake.wait(limit - time.monotonic())
        if order.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        active = [[r.task, r.number, "%.3f" % r.worked() if r.plan.get("checkpointing") else "",
                   r.percent(), 0] for r in self.runs.values()]
        return 200, {"clock_ms": self.clock(), "active": active, "ended_at": self.ended[:500]}


def fill(template, fields):
    """Fills a template of settings as DEPLOY.md tells, as far as this project's needs it."""
    def look_up(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if value else None
        return value

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m.group(1)) or ""), text)


class Entry:
    """One process of the project."""

    def __init__(self, cell, index):
        self.cell, self.name = cell, "frontend-%d" % (index + 1)
        self.ports = free_ports(4)
        self.store_port, self.child = cell.store.server.port, None
        self.log = os.path.join(cell.folder, self.name + ".log")

    def start(self):
        deploy = tomllib.load(open(os.path.join(TOP, "deploy/system.toml"), "rb"))["roles"]["entry"]
        fields = {"node_name": self.name, "zone": "z1", "ip": "127.0.0.1",
                  "internal_ports": [self.ports[2], self.ports[3]],
                  "listen_addresses": {"frontend": "127.0.0.1:%d" % self.ports[0],
                                       "ready": "127.0.0.1:%d" % self.ports[1]},
                  "platform": {"address": "127.0.0.1:%d" % self.store_port},
                  "limits": {"cores": 1, "cpu_share": 0.25, "file_descriptors": 4200},
                  "bounds": BOUNDS}
        path = os.path.join(self.cell.folder, self.name + ".toml")
        with open(path, "w") as out:
            out.write(fill(open(os.path.join(TOP, deploy["template"])).read(), fields))
        words = [w.replace("/etc/valveshelf/boot.toml", path) for w in deploy["run"].split(" ")]
        words[0] = os.path.join(TOP, os.environ.get("REVIEW_PROGRAM", words[0]))
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(words, stdout=out, stderr=out, stdin=subprocess.DEVNULL,
                                          cwd=TOP)
        self.cell.record.say("%s is started" % self.name)

    def signal(self, number):
        self.cell.record.say("%s gets signal %d" % (self.name, number))
        self.child.send_signal(number)

    def exit_code(self):
        return self.child.poll()


class Cell:
    def __init__(self, folder, entries=3, workers=8, routes=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        ports = free_ports(1 + workers)
        self.store = Store(ports[0])
        self.workers = [Worker(self, i, ports[1 + i]) for i in range(workers)]
        self.entries = [Entry(self, i) for i in range(entries)]
        self.jobs, self.starts, self.ends, self.on_order = {}, [], [], None
        self.routes = routes or [self.route("work", "/work/")]
        self.version, self.loop_task = 1, None

    @staticmethod
    def route(name, prefix, **more):
        return dict({"name": name, "host": HOST, "path_prefix": prefix, "service": "pool",
                     "priority": 1, "max_attempts": 3, "extension": 2.0, "target_latency_ms": 1000,
                     "timeout_ms": 3000, "kind": "non_idempotent"}, **more)

    async def configure(self, **more):
        await self.store.put("op/config", dict({
            "version": self.version, "routes": self.routes,
            "services": [{"name": "pool", "rejects_overload": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}, **more))
        self.record.say("configuration %d is acknowledged" % self.version)
        self.version += 1

    def plan_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    async def start(self):
        await self.store.start()
        for worker in self.workers:
            await worker.begin_life()
        await self.configure()
        for entry in self.entries:
            entry.start()
        self.loop_task = asyncio.ensure_future(self.advance_loop())
        for entry in self.entries:
            await self.wait_ready(entry)

    async def wait_ready(self, entry, seconds=20):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            if (await self.http(entry.ports[1], "GET", "/api/readiness"))[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(entry.name + " is not ready")

    async def advance_loop(self):
        while True:
            await asyncio.sleep(0.005)
            for worker in self.workers:
                if worker.alive:
                    await worker.advance()

    async def http(self, port, method, target, body=None, timeout=4.0):
        """(status, object); status 0: no complete answer."""
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
                text = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
                writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                              "Content-Length: %d\r\n\r\n" % (method, target, HOST, len(text))).encode()
                             + text)
                message = await read_message(reader)
        except (OSError, asyncio.TimeoutError):
            message = None
        finally:
            if writer:
                writer.close()
        if message is None:
            return 0, {}
        status = int(message[0].split(" ")[1])
        try:
            return status, json.loads(message[1] or b"{}")
        except ValueError:
            return status, {}

    async def call(self, entry, method, target, body=None, timeout=4.0):
        status, answer = await self.http(entry.ports[0], method, target, body, timeout)
        self.record.say("%s %s at %s: %d %s" % (method, target, entry.name, status, json.dumps(answer)[:80]))
        return status, answer

    async def submit(self, entry, job, steps, prefix="/work/", **more):
        """`steps` are as on the wire and say with `work_s` how long a task works, which only the
        workers here know."""
        self.jobs[job] = {"steps": steps}
        wire = [{k: v for k, v in s.items() if k not in ("work_s", "fails")} for s in steps]
        return (await self.call(entry, "POST", prefix + job, dict(more, spec="spec of " + job, steps=wire)))[0]

    async def state(self, entry, job, prefix="/work/"):
        status, answer = await self.call(entry, "GET", prefix + job)
        return answer.get("state", status)

    def where(self, job):
        """Workers that hold runs of the job."""
        return [w for w in self.workers if w.alive and any(t.startswith(job) for t, _ in w.runs)]

    async def until(self, holds, seconds):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            if holds():
                return True
            await asyncio.sleep(0.01)
        return False

    def leader(self):
        """The process that last began a term, by the logs."""
        best = (0, None)
        for entry in self.entries:
            if os.path.exists(entry.log):
                for line in open(entry.log, errors="replace"):
                    if " term-begun " in line:
                        best = max(best, (int(line.split("term=")[1].split()[0]), entry),
                                   key=lambda pair: pair[0])
        return best[1]

    def end(self):
        for entry in self.entries:
            if entry.child and entry.child.poll() is None:
                entry.child.send_signal(signal.SIGCONT)
                entry.child.kill()
                entry.child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder, **options):
    """Runs `case(cell, trouble)`, which returns whether the rule held, and exits as asked."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        cell = Cell(folder, **options)
        try:
            await cell.start()
            held = await case(cell, trouble)
            cell.record.say("the rule held" if held else "THE RULE IS BROKEN")
            return 0 if held else 1
        finally:
            cell.end()

    try:
        code = asyncio.run(asyncio.wait_for(play(), 115))
    except Exception as failure:  # the case could not run
        print("the case could not run: %r" % failure, file=sys.stderr)
        code = 2
    os._exit(code)
