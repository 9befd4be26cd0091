# SPDX-License-Identifier: Apache-2.0
"""Submissions get no answer, and the store carries them out seconds later. Their callers cancel them
meanwhile and are told 410: nothing of them may run, whichever process schedules by then."""
import time

from platform_cell import job_body, step

PLATFORM = True
LATE_MS = 3000
STEPS = [step(2, 1000, 500, 200)]


def cancel_late(cell, job, entry):
    """Hands the job in at e1, where it gets no answer, and cancels it at `entry`."""
    cell.control({"late_text": job, "late_ms": LATE_MS})
    submitted = cell.ask("e1", "POST", "check", job, job_body(STEPS))[0]
    cancelled, headers, _ = cell.ask(entry, "DELETE", "check", job)
    cell.control({"late_text": ""})
    return submitted, cancelled, {k.lower(): v for k, v in headers.items()}.get("valveshelf-outcome")


def run(cell, say):
    jobs = {}

    def case(name, entry="e2"):
        job = "%016x" % (0xabc0 + len(jobs))
        jobs[name] = job
        say("%s: %s" % (name, cancel_late(cell, job, entry)))
        return job

    cell.submit_again("e1", "check", STEPS)
    case("cancelled elsewhere")
    case("cancelled at the same process", "e1")
    again = case("handed in again")
    time.sleep(0.5)
    say("again: %d" % cell.ask("e3", "POST", "check", again, job_body(STEPS))[0])
    case("the scheduler is killed")
    victim, term = cell.scheduler(), cell.term()
    cell.entries[victim].kill()
    cell.wait("a new term begins", lambda: cell.term() > term, 10)
    cell.restart(victim)
    cell.wait_ready()
    other = [name for name in cell.entries if name not in ("e1", cell.scheduler())][0]
    case("the process that answered is killed", other)
    cell.entries[other].kill()
    cell.restart(other)
    cell.wait_ready()
    time.sleep(LATE_MS / 1000 + 1.0)
    started = set(cell.verdict()["started_jobs"])
    say("run: %s" % [name for name, job in jobs.items() if job in started])
    say("shown as: %s" % sorted({cell.state(job) for job in jobs.values()}))
    say("ended: %s" % cell.finish())
