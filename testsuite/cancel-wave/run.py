# SPDX-License-Identifier: Apache-2.0
"""Jobs by the dozen are cancelled while they start; each ends, and none runs on."""
import threading

from scenes import finish, flood

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def run(cell, say):
    jobs = flood(cell, 40, "wave", count=10, run_time_ms=30000)
    threads = [threading.Thread(target=cell.cancel, args=(job,)) for job in jobs]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    finish(cell, jobs, say)
    say("left running on workers: %d" % sum(
        t["state"] == "running" for w in cell.workers for t in listed(cell, w)))


def listed(cell, worker):
    import json
    from cell import call
    return json.loads(call(cell.processes[worker].address, "GET", "/v1/tasks")[2])["tasks"]
