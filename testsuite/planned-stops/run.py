# SPDX-License-Identifier: Apache-2.0
"""All entries are stopped as planned and restarted, one by one, under load."""
import threading

from cell import now_ms
from scenes import finish, flood

CELL = {"timing": {"task_lease": "6s", "worker_poll": "500ms", "worker_timeout": "1s"}}



def run(cell, say):
    cell.wait("the route answers", lambda: cell.request("/registry/check", "warm-%d" % now_ms(), "e1")["status"] == 200, 10)
    cell.wait("config is everywhere", lambda: min(cell.see_config().values()) >= 2, 7)
    over, cut, served = threading.Event(), [], []

    def requests():
        number = 0
        while not over.is_set():
            number += 1
            name = "r-%d-%d" % (threading.get_ident() % 100000, number)
            try:
                record = cell.request("/registry/check", name, work_ms=30, bytes_wanted=20000)
            except IndexError:
                continue
            served.append(record["outcome"])
            if record["cut"]:
                cut.append(name)

    threads = [threading.Thread(target=requests) for _ in range(4)]
    for thread in threads:
        thread.start()
    jobs = []
    for entry in cell.entries:
        jobs += flood(cell, 5, "while-" + entry)
        say("%s stopped with exit code %d" % (entry, cell.planned_stop(entry)))
        cell.restart(entry)
        cell.wait_ready(30)
    over.set()
    for thread in threads:
        thread.join()
    say("requests cut off: %d, served some: %s" % (len(cut), served.count("ran") > 50))
    finish(cell, jobs, say)
