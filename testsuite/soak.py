# SPDX-License-Identifier: Apache-2.0
"""A seeded soak of `valveshelf serve`: real processes on the stand-in of the users' platform, with
faults injected from outside them, in series that overlap. It checks while it runs, from what
callers and workers see: no broken rule of a start, nothing that was refused ever runs, nor a job
whose cancelling was answered with 410 before it was accepted, accepted jobs stay known, what is shown as ended stays so, only jobs with a task under which two workers have
crashed are given up, and all jobs end once the faults are over. Some workers and some runs are
slow, some steps are speculative, and operators switch the features of `overload` at random.

The same seed always gives the same plan of faults. Load runs all the while on connections that
callers keep open.
"""
import argparse
import http.client
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cell import call, free_ports
from platform_cell import (ENDS_IN_EACH_WAY, HOST, MAX_ATTEMPTS, PREFIXES, PlatformCell, configuration,
                           job_body, lasting, step)
from proxy import Proxy, ProxyThread

ENDED = ("completed", "failed", "cancelled")
# Kinds of faults: what they strike, and how long at most, in seconds.
FAULTS = {
    "kill": ("entry", 1.0), "kill-scheduler": ("cell", 1.0), "pause": ("entry", 4.0),
    "pause-scheduler": ("cell", 4.0), "planned-stop": ("entry", 0.5), "reload": ("entry", 0.1),
    "store-delay": ("entry", 3.0), "store-reset": ("entry", 0.1), "store-silent": ("entry", 4.0),
    "store-one-way": ("entry", 4.0), "store-refuses": ("entry", 4.0), "store-deaf": ("entry", 0.1),
    "advice-deaf": ("entry", 0.1), "store-down": ("store", 4.0),
    "store-loses-answers": ("store", 0.1), "advice-silent": ("entry", 2.0),
    "callers-reset": ("entry", 0.1), "worker-dies": ("worker", 0.1), "worker-reborn": ("worker", 0.1),
    "worker-mute": ("worker", 2.0), "worker-late": ("worker", 2.0), "cancel-wave": ("cell", 0.1),
    "restart-quick": ("worker", 0.1), "restart-slow": ("worker", 3.0), "restart-twice": ("worker", 0.5),
    "restart-behind-cut": ("worker", 3.0), "restart-while-late": ("worker", 1.0),
    "restart-in-takeover": ("worker", 0.5)}
# With --worker-resets: connections to workers are reset after a start was carried out. Weighted, since
# a client opens few connections while they are being reset.
RESETS = {"worker-resets": ("connections", 3.0), "resets-in-takeover": ("takeover", 2.0)}
RESETS_WEIGHT = 12
# With --late-writes: the store carries writes out seconds later without an answer, callers cancel half
# of the jobs whose submission got none, and one job in so many has long-running tasks.
LATE = {"store-late": ("store", 0.1)}
LATE_WEIGHT, LASTING_ONE_IN, MOST_LASTING = 8, 12, 5
LATE_MS = (1000, 6000)
IMPATIENT_ONE_IN, IMPATIENT_S, LATE_WAIT_S = 6, (0.0005, 0.006), (0.05, 1.0)
# Once the faults are over, a long-running task is away for at most this time.
AWAY_MS, SETTLED_WITHIN_S, WATCHED_S = 3000, 20, 6
# With --queue-moves: where queues are sent, and the power of the first processes.
SERVICES, MOVES_POWERS = ("pool", "pool2"), (4, 2)
MOST_CONFIGURATIONS = 1_000_000
FIRST_RESETS = (0.5, "resets-in-takeover", None, 1.0, 1)  # In every plan.

# One job in so many crashes each worker that begins it.
CRASHERS_ONE_IN = 25
# Workers that need more time than the others, and runs that do.
SLOW_WORKERS, SLOW_PERCENT = 2, 400
SPECULATIVE_MS = 500  # Runs on slow workers end after the objective of their job.
LONG_RUNS = {"long_runs_one_in": 10, "times": 4}
# Of the jobs with --scheduled, one in so many has times, with rounds that may overlap.
SCHEDULED_ONE_IN, MAX_ROUNDS, MAX_DUE_IN_MS, INTERVALS_MS = 2, 3, 1500, (200, 1200)


def make_plan(seed, seconds, entries, workers, resets, late):
    """The faults as (at, kind, target, duration, amount). Half of them come within a second of the
    one before, so that they overlap."""
    rng = random.Random(seed)
    kinds = sorted(FAULTS) + (sorted(RESETS) * RESETS_WEIGHT if resets else [])
    kinds += sorted(LATE) * LATE_WEIGHT if late else []
    plan, at = [FIRST_RESETS] if resets else [], 1.0
    while at < seconds - 1:
        kind = rng.choice(kinds)
        struck, longest = {**FAULTS, **RESETS, **LATE}[kind]
        entry, worker = "e%d" % rng.randint(1, entries), rng.randrange(workers)
        target = {"entry": entry, "worker": worker, "connections": worker}.get(struck)
        plan.append((round(at, 2), kind, target, round(rng.uniform(0.1, longest), 2), rng.randint(1, 6)))
        at += rng.uniform(0, 1) if rng.random() < 0.5 else rng.uniform(1, 4)
    return plan


class Callers:
    """Callers who keep connections open, ask again after answers that are missing, and note what
    they may rely on."""

    def __init__(self, cell, fronts, seed, scheduled, late):
        self.cell, self.fronts, self.seed, self.scheduled, self.late = cell, fronts, seed, scheduled, late
        self.lasting, self.revoked = [], set()
        self.over, self.lock = threading.Event(), threading.Lock()
        self.accepted, self.refused, self.cancelled, self.shown = {}, set(), set(), {}
        self.breaks = []
        self.threads = [threading.Thread(target=self.submit, args=(i,), daemon=True) for i in range(3)]
        self.threads.append(threading.Thread(target=self.look, daemon=True))

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()

    def ask(self, kept, front, method, target, body=None, timeout=4):
        """Status and body over the connection kept to `front`; status 0: no answer."""
        if front not in kept:
            kept[front] = http.client.HTTPConnection("127.0.0.1", self.fronts[front].port, timeout=timeout)
        try:
            kept[front].request(method, target, body, {"Host": HOST, "Content-Type": "application/json"})
            answer = kept[front].getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            kept.pop(front).close()
            return 0, b""

    def submit(self, number):
        rng, kept = random.Random(self.seed * 31 + number), {}
        timed = random.Random(self.seed * 53 + number)
        crashes, copies = random.Random(self.seed * 37 + number), random.Random(self.seed * 43 + number)
        lates = random.Random(self.seed * 59 + number)
        while not self.over.is_set():
            queue, steps = self.job(rng)
            if crashes.randrange(CRASHERS_ONE_IN) == 0:
                queue, steps = "check", [step(1, 900, 400, 500, crashes=True)]
            elif queue == "check" and copies.randrange(2) == 0:
                steps[0].update(speculative=True, fails=int(copies.randrange(4) == 0), work_ms=SPECULATIVE_MS,
                                estimated_ms=SPECULATIVE_MS)
            times = {}
            if self.scheduled and timed.randrange(SCHEDULED_ONE_IN) == 0:
                times = {"repetitions": timed.randint(1, MAX_ROUNDS),
                         "first_run_ms": int(time.time() * 1000) + timed.randrange(MAX_DUE_IN_MS),
                         "interval_ms": timed.choice(INTERVALS_MS)}
            lasts = self.late and lates.randrange(LASTING_ONE_IN) == 0 and len(self.lasting) < MOST_LASTING
            if lasts:
                queue, times = "scan", {}
                steps = [lasting(lates.randint(1, 3), ENDS_IN_EACH_WAY, lates.choice([5, 100, 900]),
                                 gang=lates.randrange(3) == 0)]
            job, front, may_run = "%016x" % rng.getrandbits(64), rng.choice(sorted(self.fronts)), False
            if self.late and not lasts and lates.randrange(IMPATIENT_ONE_IN) == 0:
                self.submit_impatiently(lates, job, queue, steps, times)
                continue
            for _ in range(6):
                status, _ = self.ask(kept, front, "POST", PREFIXES[queue] + job,
                                     job_body(steps, MAX_ATTEMPTS[queue], **times))
                if status == 200:
                    with self.lock:
                        self.accepted[job] = queue
                        if lasts:
                            self.lasting.append(job)
                    break
                may_run = may_run or status not in (429, 503)
                if self.late and status not in (429, 503) and lates.randrange(2) == 0:
                    self.give_up(kept, lates, job, queue)
                    break
                front = rng.choice(sorted(self.fronts))
                self.over.wait(0.2)
            else:
                if not may_run:
                    self.refused.add(job)
            self.over.wait(rng.expovariate(6))

    def submit_impatiently(self, rng, job, queue, steps, times):
        """Hands a job in and cancels it elsewhere while the answer is still due, or while the store
        carries its write out late."""
        limit = rng.uniform(*IMPATIENT_S)
        if rng.randrange(2) == 0:
            self.cell.control({"late_text": job, "late_ms": rng.randint(*LATE_MS)})
            limit = rng.uniform(*LATE_WAIT_S)
        status, _ = self.ask({}, rng.choice(sorted(self.fronts)), "POST", PREFIXES[queue] + job,
                             job_body(steps, MAX_ATTEMPTS[queue], **times), limit)
        if status == 200:
            with self.lock:
                self.accepted[job] = queue
        else:
            self.give_up({}, rng, job, queue)

    def give_up(self, kept, rng, job, queue):
        """Cancels a job whose submission got no answer. What is told 410 has not run and never will."""
        self.cancelled.add(job)
        status, body = self.ask(kept, rng.choice(sorted(self.fronts)), "DELETE", PREFIXES[queue] + job)
        # A job that has ended is answered with 410 as well.
        if status == 410 and json.loads(body)["outcome"] == "not-run":
            self.revoked.add(job)

    def end_lasting(self):
        """Once the faults are over: no long-running task is away for long. Then the jobs are cancelled."""
        limit = time.time() + SETTLED_WITHIN_S
        while time.time() < limit and not self.away() <= AWAY_MS:
            time.sleep(0.1)
        worst, limit = 0, time.time() + WATCHED_S
        while self.lasting and time.time() < limit:
            worst = max(worst, self.away())
            time.sleep(0.1)
        if worst > AWAY_MS:
            self.breaks.append("a long-running task was away for %s ms" % worst)
        kept = {}
        for job in self.lasting:
            self.cancelled.add(job)
            self.ask(kept, sorted(self.fronts)[0], "DELETE", PREFIXES[self.accepted[job]] + job)

    def away(self):
        times = self.cell.verdict()["lasting_away_ms"]
        alive = [job for job in self.lasting if job not in self.cancelled]
        return max([times.get(job, float("inf")) for job in alive], default=0)

    @staticmethod
    def job(rng):
        kind = rng.randrange(5)
        if kind == 0:
            return "rebuild", [step(rng.randint(2, 6), 3000, 1500, rng.choice([200, 1500]), gang=True)]
        if kind == 1:
            return "scan", [step(3, 1200, 600, 400, saves=True), step(2, 500, 200, 100, after=[0])]
        return "check", [step(rng.randint(1, 3), 900, 400, rng.choice([30, 120, 500]))]

    def look(self):
        """Reads states at random boxes: an accepted job is never unknown, an end never changes."""
        rng, kept = random.Random(self.seed * 17), {}
        while not self.over.is_set():
            with self.lock:
                known = list(self.accepted.items())
            if known:
                job, queue = rng.choice(known[-200:])
                status, body = self.ask(kept, rng.choice(sorted(self.fronts)), "GET", PREFIXES[queue] + job)
                self.judge(job, status, body)
            self.over.wait(0.02)

    def judge(self, job, status, body):
        if status == 410:
            self.breaks.append("accepted job %s is said to be unknown" % job)
        if status != 200:
            return
        state = json.loads(body)["state"]
        if self.shown.get(job) in ENDED and state != self.shown[job]:
            self.breaks.append("job %s was %s and is %s" % (job, self.shown[job], state))
        if state == "cancelled" and job not in self.cancelled:
            self.breaks.append("job %s is cancelled and nobody asked for it" % job)
        if state == "completed" and self.shown.get(job) != state:
            self.cell.control({"shown_completed": [job]})
        self.shown[job] = state

    def cancel_some(self, amount):
        kept = {}
        with self.lock:
            chosen = list(self.accepted.items())[-amount:]
        for job, queue in chosen:
            self.cancelled.add(job)
            self.ask(kept, random.choice(sorted(self.fronts)), "DELETE", PREFIXES[queue] + job)

    def finish(self, jobs, seconds):
        left, kept, limit = {job: self.accepted[job] for job in jobs}, {}, time.time() + seconds
        while left and time.time() < limit:
            for job, queue in list(left.items()):
                status, body = self.ask(kept, sorted(self.fronts)[0], "GET", PREFIXES[queue] + job)
                self.judge(job, status, body)
                if self.shown.get(job) in ENDED and status == 200:
                    del left[job]
            time.sleep(0.05)
        for job in left:
            self.breaks.append("job %s does not end: %s" % (job, self.shown.get(job)))


class Soak:
    def __init__(self, folder, seed, entries, workers, scheduled, resets, late, moves):
        self.proxies = ProxyThread()
        self.stores, self.advices, self.fronts = {}, {}, {}
        # The proxies listen before the cell looks for free ports, so that it takes others.
        ports = iter(free_ports(entries * 3))
        for name in ("e%d" % (i + 1) for i in range(entries)):
            for proxies in (self.stores, self.advices, self.fronts):
                proxies[name] = Proxy(next(ports))
                self.proxies.add(proxies[name])
        # Of processes of unequal power, the stronger ones take the role over whenever they can.
        self.cell = PlatformCell(folder, entries, workers, start_resets=resets,
                                 others=workers // 2 if moves else 0, powers=MOVES_POWERS if moves else ())
        self.moves = moves
        for name, entry in self.cell.entries.items():
            self.stores[name].target = "127.0.0.1:%d" % self.cell.store
            self.advices[name].target = "127.0.0.1:%d" % (self.cell.store + 1)
            self.fronts[name].target = entry.address
            self.cell.point(name, store=self.stores[name].port, advice=self.advices[name].port)
        self.callers = Callers(self.cell, self.fronts, seed, scheduled, late)
        self.late_by = random.Random(seed * 61)
        self.switched = 0  # Configurations that switched features.

    def all_proxies(self):
        return list(self.stores.values()) + list(self.advices.values()) + list(self.fronts.values())

    def carry_out(self, kind, target, duration, amount):
        if kind.endswith("-scheduler"):
            target = self.cell.scheduler()
        if kind in RESETS:
            return self.reset_starts(kind, target, duration)
        if kind.startswith("kill") or kind.startswith("pause") or kind in ("planned-stop", "reload"):
            return self.strike_process(kind, target, duration)
        if kind.startswith("worker"):
            return self.strike_worker(kind, target, duration)
        if kind.startswith("restart"):
            return self.restart_worker(kind, target, duration)
        if kind == "store-down":
            self.cell.control({"store_down": True})
            time.sleep(duration)
            self.cell.control({"store_down": False})
        elif kind == "store-late":
            self.cell.control({"late_writes": amount, "late_ms": self.late_by.randint(*LATE_MS)})
        elif kind == "store-loses-answers":
            self.cell.control({"lose_answers": amount})
        elif kind == "cancel-wave":
            self.callers.cancel_some(amount)
        else:
            self.strike_connections(kind, target, duration)

    def strike_process(self, kind, target, duration):
        entry = self.cell.entries[target]
        if not entry.alive():
            return
        if kind.startswith("pause"):
            entry.signal(signal.SIGSTOP)
            time.sleep(duration)
            return entry.signal(signal.SIGCONT)
        if kind == "reload":
            return entry.signal(signal.SIGHUP)
        if kind == "planned-stop":
            entry.signal(signal.SIGCONT)
            self.cell.stop(target, 12)
        else:
            entry.kill()
        time.sleep(duration)
        self.cell.restart(target)

    def strike_worker(self, kind, target, duration):
        becomes = {"worker-dies": "dead", "worker-reborn": "reborn", "worker-mute": "mute",
                   "worker-late": "late"}[kind]
        self.cell.control({"worker": target, "becomes": becomes})
        time.sleep(duration)
        if becomes == "dead":
            self.cell.control({"worker": target, "becomes": "reborn"})
        if becomes in ("mute", "late"):
            self.cell.control({"worker": target, "becomes": "well"})

    def reset_starts(self, kind, target, duration):
        """Connections to one worker, or to all as the scheduler is killed, are reset."""
        fronts = self.cell.worker_fronts
        struck = fronts if target is None else [fronts[target]]
        for front in struck:
            front.active += 1
        if kind == "resets-in-takeover":
            scheduler = self.cell.scheduler()
            if scheduler:
                self.strike_process("kill", scheduler, duration / 2)
        time.sleep(duration)
        for front in struck:
            front.active -= 1

    def restart_worker(self, kind, target, duration):
        """The worker starts again under its id."""
        before = {"restart-slow": "dead", "restart-behind-cut": "mute", "restart-while-late": "late"}.get(kind)
        if before:
            self.cell.control({"worker": target, "becomes": before})
            time.sleep(duration / 2)
        if kind == "restart-in-takeover":
            scheduler = self.cell.entries.get(self.cell.scheduler())
            if scheduler and scheduler.alive():
                scheduler.kill()
        self.cell.control({"worker": target, "becomes": "restarted"})
        if kind == "restart-behind-cut":
            self.cell.control({"worker": target, "becomes": "mute"})
            time.sleep(duration / 2)
            self.cell.control({"worker": target, "becomes": "well"})
        if kind == "restart-twice":
            time.sleep(duration)
            self.cell.control({"worker": target, "becomes": "restarted"})
        if kind == "restart-in-takeover":
            time.sleep(duration)
            if scheduler and not scheduler.alive():
                self.cell.restart(scheduler.name)

    def strike_connections(self, kind, target, duration):
        proxy = {"store": self.stores, "advice": self.advices, "callers": self.fronts}[
            kind.split("-")[0]][target]
        what = kind.split("-", 1)[1]
        if what == "reset":
            return self.proxies.call(proxy.reset_all)
        if what == "deaf":
            return self.proxies.call(proxy.deafen)
        proxy.delay_s = duration / 10 if what == "delay" else 0.0
        proxy.silent_to = what == "silent"
        proxy.silent_back = what in ("silent", "one-way")
        proxy.refusing = what == "refuses"
        time.sleep(duration)
        proxy.heal()
        self.proxies.call(proxy.reset_all)

    def resize(self, seed, over):
        """Capacities of workers shrink to a half and grow again."""
        rng = random.Random(seed * 41)
        while not over.wait(rng.uniform(0.3, 2.0)):
            self.cell.control({"capacity_of": rng.randrange(self.cell.worker_count),
                               "becomes": rng.choice(["small", "whole"])})

    def switch_features(self, seed, over):
        """Operators switch the features that the program knows, one configuration after the other, and
        with --queue-moves send queues to other services."""
        moved = random.Random(seed * 67)
        rng, version = random.Random(seed * 47), 1
        status, _, body = call(self.cell.entries["e1"].metrics, "GET", "/v1/overload")
        known = [name for name in ("share_advice", "order", "admission", "learn_run_times", "copies")
                 if name in json.loads(body)["features"]] if status == 200 else []
        while not over.wait(rng.uniform(0.3, 2.0)):
            version += 1
            given = {name: rng.choice(["on", "on", "off", "auto"]) for name in known if rng.random() < 0.8}
            services = {queue: moved.choice(SERVICES) for queue in MAX_ATTEMPTS} if self.moves else {}
            self.cell.control({"configuration": dict(configuration(version, services), overload=given)})
            self.switched = version - 1 if known else 0

    def run(self, plan, seconds, verbose):
        self.cell.start()
        self.cell.control(dict(LONG_RUNS, foreign_entries=True))
        for worker in range(SLOW_WORKERS):
            self.cell.control({"slow_worker": worker, "percent": SLOW_PERCENT})
        self.cell.wait_ready(30)
        self.callers.start()
        over = threading.Event()
        for change in (self.resize, self.switch_features):
            threading.Thread(target=change, args=(self.callers.seed, over), daemon=True).start()
        began, busy, threads = time.time(), {}, []
        for at, kind, target, duration, amount in plan:
            time.sleep(max(0, began + at - time.time()))
            key = ({**FAULTS, **RESETS, **LATE}[kind][0], target)
            if key in busy and busy[key].is_alive():
                continue
            if verbose:
                print("   %6.2f %s %s %s" % (at, kind, target, duration), flush=True)
            busy[key] = threading.Thread(target=self.carry_out, daemon=True,
                                         args=(kind, target, duration, amount))
            busy[key].start()
            threads.append(busy[key])
        time.sleep(max(0, began + seconds - time.time()))
        for thread in threads:
            thread.join()
        over.set()
        self.heal()
        if self.moves:
            self.leave_service()
        self.callers.stop()
        # Jobs that crash workers are over before the others are watched.
        self.callers.finish(set(self.callers.accepted) - set(self.callers.lasting), 60)
        self.callers.end_lasting()
        self.callers.finish(self.callers.lasting, 20)
        return self.verdict()

    def leave_service(self):
        """All queues are sent to one service, the workers of the other leave for good, and new ones of the
        first take their place: advice may exclude few workers from all tasks of a step."""
        self.cell.control({"configuration": configuration(MOST_CONFIGURATIONS, dict.fromkeys(MAX_ATTEMPTS, "pool"))})
        for worker in range(self.cell.worker_count - self.cell.worker_count // 2, self.cell.worker_count):
            self.cell.control({"worker": worker, "becomes": "reborn", "service": "pool"})

    def heal(self):
        for proxy in self.all_proxies():
            proxy.heal()
            self.proxies.call(proxy.reset_all)
        self.cell.control({"store_down": False, "lose_answers": 0, "late_writes": 0, "late_text": ""})
        for front in self.cell.worker_fronts:
            front.active = 0
        for worker in range(self.cell.worker_count):
            self.cell.control({"capacity_of": worker, "becomes": "whole"})
        for name, entry in self.cell.entries.items():
            entry.signal(signal.SIGCONT)
            if not entry.alive():
                self.cell.restart(name)

    def verdict(self):
        found = self.cell.verdict()
        started = set(found["started_jobs"])
        ran = ["job %s was refused and ran" % job for job in self.callers.refused & started]
        ran += ["job %s was cancelled, not run, and ran" % job for job in self.callers.revoked & started]
        failed = {job for job, state in self.callers.shown.items() if state == "failed"}
        wrong = ["job %s is given up, and two workers have not crashed under a task of it" % job
                 for job in failed - set(found["jobs_that_may_fail"])]
        return found, found["breaks"] + self.callers.breaks + ran + wrong


def play(seed, given):
    seconds, entries, workers, keep, verbose = (given.seconds, given.entries, given.workers, given.keep,
                                                given.verbose)
    folder = tempfile.mkdtemp(prefix="valveshelf-soak-%d-" % seed)
    plan = make_plan(seed, seconds, entries, workers, given.worker_resets, given.late_writes)
    soak = Soak(folder, seed, entries, workers, given.scheduled, given.worker_resets, given.late_writes,
                given.queue_moves)
    try:
        found, breaks = soak.run(plan, seconds, verbose)
    finally:
        soak.cell.end()
    callers = soak.callers
    print("seed %d: %d faults, %d switches, %d restarts, %d jobs accepted, %d refused, %d starts, %d copies, %s" % (
        seed, len(plan), soak.switched, found["restarts"], len(callers.accepted), len(callers.refused),
        found["starts"], found["copies"],
        "clean" if not breaks else "%d BROKEN" % len(breaks)), flush=True)
    resets = sum(front.resets for front in soak.cell.worker_fronts)
    if given.worker_resets:
        print("   %d resets, %d starts refused that had been sent again, %d unbooked runs that a report names" % (
            resets, soak.cell.count_logged(" start-not-confirmed ", " repeated=yes "),
            soak.cell.count_logged(" run-contradicted ")))
    if given.late_writes:
        print("   %d jobs cancelled before they were accepted, %d of them not run, %d with long-running tasks" % (
            len(callers.cancelled - set(callers.accepted)), len(callers.revoked), len(callers.lasting)))
    moved = soak.cell.count_logged(" queue-moved ")
    if given.queue_moves:
        print("   %d moves of queues with jobs, %d hand-overs, %d waits passed on" % (
            moved, soak.cell.count_logged(" why=handed-over"), soak.cell.count_logged(" lease-ends-noted ")))
    for line in breaks[:20]:
        print("   " + line)
    if breaks or keep:
        print("   logs: " + folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    # A soak in which nothing happened proves nothing.
    return (not breaks and found["starts"] > 0 and soak.switched > 0 and len(callers.accepted) > 0
            and (resets > 0 or not given.worker_resets)
            and (callers.revoked and callers.lasting or not given.late_writes)
            and (moved > 0 or not given.queue_moves))


def main():
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after the other")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--keep", action="store_true", help="keep the logs of clean seeds too")
    parser.add_argument("--scheduled", action="store_true", help="half of the jobs have times")
    parser.add_argument("--worker-resets", action="store_true",
                        help="connections to workers are reset after starts were carried out")
    parser.add_argument("--late-writes", action="store_true",
                        help="writes are carried out late, unanswered jobs cancelled, tasks long-running")
    parser.add_argument("--queue-moves", action="store_true",
                        help="queues are sent to other services, and processes are of unequal power")
    parser.add_argument("--verbose", action="store_true", help="print each fault")
    given = parser.parse_args()
    good = [play(given.seed + i, given) for i in range(given.seeds)]
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
