# SPDX-License-Identifier: Apache-2.0
"""The scheduler and one worker are cut off from the store and from everything else, the other
processes are lost, and one that the scheduler has never heard of takes over: the task on that worker
is over before it is started elsewhere."""
import time

from platform_cell import put_store_behind_proxies, step

PLATFORM = True
TOKENS_PER_TERM = 1 << 24
CUT_S = 10


def run(cell, say):
    proxies = put_store_behind_proxies(cell)
    cell.entries["e3"].kill()
    cell.wait("a term began", lambda: cell.scheduler() in ("e1", "e2"), 15)
    time.sleep(5)  # until the third process has left the list of members
    old = cell.scheduler()
    other = "e2" if old == "e1" else "e1"
    _, job = cell.submit(old, "scan", [step(1, 1000, 500, 14000)])
    cell.wait("it runs", lambda: cell.verdict()["running"] == 1, 10)
    on = cell.verdict()["running_by_worker"].index(1)
    proxies[old].silent_to = proxies[old].silent_back = True
    limit = (cell.term() + 1) * TOKENS_PER_TERM
    for worker in range(cell.worker_count):
        cell.control(dict({"most": limit - 1} if worker == on else {"least": limit}, tokens_of=worker))
    cell.entries[other].kill()
    term = cell.term()
    cell.restart("e3")
    cell.wait("another process takes over", lambda: cell.term() > term, 10)
    say("the successor is the new one: %s" % (cell.scheduler() == "e3"))
    time.sleep(CUT_S)
    say("the task was started again: %s" % (cell.verdict()["starts"] == 2))
    proxies[old].heal()
    for worker in range(cell.worker_count):
        cell.control({"tokens_of": worker})
    cell.wait("it ends", lambda: cell.state(job, "e3") == "completed", 30)
