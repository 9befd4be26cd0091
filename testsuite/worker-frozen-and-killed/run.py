# SPDX-License-Identifier: Apache-2.0
"""A worker is frozen past its leases and comes back; another is killed and restarted."""
import time

from scenes import finish, flood

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def run(cell, say):
    jobs = flood(cell, 15, "before", run_time_ms=1500)
    cell.freeze("w1-1")
    cell.kill("w2-1")
    jobs += flood(cell, 15, "during")
    time.sleep(10)
    cell.thaw("w1-1")
    cell.restart("w2-1")
    jobs += flood(cell, 5, "after")
    finish(cell, jobs, say, 90)
