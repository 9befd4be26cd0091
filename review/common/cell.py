# SPDX-License-Identifier: Apache-2.0
"""Starts the project's own entry processes against the stand-in of the platform, on loopback.

The command is the `run` line of deploy/system.toml and the settings are its template, filled in as
the platform does it; only the path of the settings file is another one. `run_case` carries a case
out and turns its outcome into the exit code: 1 the rule was broken, 0 it held, 2 it couldn't run.
"""
import asyncio
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from platform_standin import Pool, Record, Server, Store, owner_of, read_request

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "novo13.example"
PREFIX = "/volo102/"
LIMIT_S = 110  # of a whole case


class CannotRun(Exception):
    """The case could not be carried out as planned."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


# The template language of the deploy page, as far as deploy/settings.toml.template uses it.

def look_up(fields, path):
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def fill(text, fields):
    def section(found):
        value = look_up(fields, found.group(1))
        return found.group(2) if value or value == 0 and value is not False else ""

    def gap(found):
        value = look_up(fields, found.group(1))
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


def platform_fields(name, ports, store_port):
    """The settings of the deploy page's example, for one process."""
    callers, ready, peers, metrics = ports
    return {
        "node_name": name, "role": "entry", "machine_class": "frontend", "serves": ["frontend"],
        "ip": "127.0.0.1", "zone": "hall-deusto", "internal_ports": [peers, metrics],
        "listen_addresses": {"frontend": "127.0.0.1:%d" % callers, "ready": "127.0.0.1:%d" % ready},
        "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4200},
        "bounds": {"contact_timeout_ms": 3000, "ack_timeout_ms": 4000, "grace_period_s": 6, "hold_max_ms": 6000,
                   "stop_ms": 200, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                   "finish_s": 14, "status_s": 120},
        "platform": {"address": "127.0.0.1:%d" % store_port, "form": "kv", "ttl_min_ms": 1000}}


def deploy_command():
    text = open(os.path.join(TOP, "deploy", "system.toml")).read()
    words = shlex.split(re.search(r'^run = "(.*)"', text, re.M).group(1))
    for binary in (words[0], words[0].replace("target/", "build/", 1)):
        if os.access(os.path.join(TOP, binary), os.X_OK):
            return [os.path.join(TOP, binary)] + words[1:]
    raise CannotRun("no build: neither %s nor its build/ twin exists" % words[0])


class Entry:
    """One entry process and its link to the store."""

    def __init__(self, cell, name):
        self.cell, self.name, self.child = cell, name, None
        self.store_port, self.callers, ready, peers, metrics = free_ports(5)
        self.ports = (self.callers, ready, peers, metrics)
        self.ready = ready
        self.settings = os.path.join(cell.folder, name + ".toml")
        self.log = os.path.join(cell.folder, name + ".log")

    async def start(self):
        with open(os.path.join(TOP, "deploy", "settings.toml.template")) as template:
            text = fill(template.read(), platform_fields(self.name, self.ports, self.store_port))
        with open(self.settings, "w") as out:
            out.write(text)
        await Server(self.store_port, self.cell.store.handle, lambda *_: self.name,
                     lambda origin: origin in self.cell.store.cut).start()
        self.spawn()

    def spawn(self):
        command = [self.settings if w == "/etc/valveshelf/boot.toml" else w for w in deploy_command()]
        self.child = subprocess.Popen(command, cwd=TOP, stdin=subprocess.DEVNULL, stderr=subprocess.STDOUT,
                                      stdout=open(self.log, "a"))
        self.cell.record.say("%s: process started" % self.name)

    def kill(self):
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()
        self.cell.record.say("%s: process killed" % self.name)

    def signal(self, number):
        self.child.send_signal(number)

    def alive(self):
        return self.child is not None and self.child.poll() is None


class Cell:
    def __init__(self, case_folder, workers):
        self.folder = tempfile.mkdtemp(prefix="valveshelf-review-")
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.store = Store(self.record)
        self.pool = Pool(self.store, self.record, free_ports(workers))
        self.entries, self.tasks, self.answers = {}, [], {}

    def pids(self):
        return {name: entry.child.pid for name, entry in self.entries.items() if entry.alive()}

    async def start(self, names):
        for worker in self.pool.workers:
            await Server(worker.port, worker.handle,
                         lambda port, server: owner_of(port, server, self.pids()),
                         lambda origin, on=worker: origin in on.cut).start()
        self.pool.list_all()
        self.store.put_json("op/config", configuration())
        self.tasks.append(asyncio.create_task(self.pool.run()))
        for name in names:
            await self.add_entry(name)

    async def add_entry(self, name):
        self.entries[name] = Entry(self, name)
        await self.entries[name].start()
        await self.until("%s is ready" % name, lambda: self.is_ready(name), 15)

    async def is_ready(self, name):
        status, _ = await self.call(self.entries[name].ready, "GET", "/api/readiness", "", 1)
        return status == 200

    async def until(self, what, holds, seconds):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            found = holds()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise CannotRun("waited %g s in vain until %s" % (seconds, what))

    async def call(self, port, method, path, body, timeout):
        try:
            return await asyncio.wait_for(self.exchange(port, method, path, body), timeout)
        except (OSError, EOFError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as why:
            return 0, type(why).__name__

    async def exchange(self, port, method, path, body):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            text = body.encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                          "Valveshelf-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, HOST, len(text))).encode() + text)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"content-length: *(\d+)", head, re.I)
            answer = await reader.readexactly(int(length.group(1))) if length else b""
            return int(head.split(" ", 2)[1]), answer.decode()
        finally:
            writer.close()

    # What clients do.

    async def ask(self, entry, method, job, body=""):
        status, answer = await self.call(self.entries[entry].callers, method, PREFIX + job, body, 3)
        self.record.say("client: %s %s at %s -> %s %s" % (method, job, entry, status or "no answer", answer))
        return status, answer

    async def submit(self, entry, job, body):
        """Hands the job in until it is accepted, as a client does."""
        for _ in range(5):
            status, _ = await self.ask(entry, "POST", job, json.dumps(body))
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("job %s was not accepted" % job)

    async def state(self, entry, job):
        status, answer = await self.ask(entry, "GET", job)
        return json.loads(answer)["state"] if status == 200 else status

    # What the platform sees.

    def scheduler(self):
        """The entry that last began a term, by its log."""
        best = (0, None)
        for name, entry in self.entries.items():
            for line in open(entry.log, errors="replace") if os.path.exists(entry.log) else []:
                if " term-begun " in line:
                    best = max(best, (int(line.split("term=")[1].split()[0]), name))
        return best

    def end(self):
        for entry in self.entries.values():
            if entry.alive():
                entry.signal(signal.SIGCONT)
                entry.kill()


def configuration():
    route = {"name": "q-scan", "host": HOST, "path_prefix": PREFIX, "priority": 1, "extension": 2.2,
             "target_latency_ms": 1000, "max_attempts": 3, "timeout_ms": 3000, "service": "pool",
             "kind": "non_idempotent"}
    return {"version": 7, "routes": [route], "services": [{"name": "pool", "rejects_overload": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}


def run_case(case_folder, workers, entries, scenario):
    """`scenario(cell, trouble)` is a coroutine. The rule is judged by the stand-in while it runs."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # Handlers that still wait when the case is over are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        cell = Cell(case_folder, workers)
        try:
            await cell.start(entries)
            await scenario(cell, trouble)
            broken = cell.pool.breaks
            cell.record.say("verdict: %s" % ("broken, %d times" % len(broken) if broken else "held"))
            print("rule broken: " + broken[0] if broken else "rule held")
            return 1 if broken else 0
        finally:
            cell.end()
            if os.environ.get("KEEP_LOGS"):
                print("logs: " + cell.folder, file=sys.stderr)

    async def limited():
        return await asyncio.wait_for(main(), LIMIT_S)

    try:
        return asyncio.run(limited())
    except (CannotRun, OSError, asyncio.TimeoutError) as why:
        print("could not run: %s %s" % (type(why).__name__, why), file=sys.stderr)
        return 2
    except Exception:
        traceback.print_exc()
        return 2
