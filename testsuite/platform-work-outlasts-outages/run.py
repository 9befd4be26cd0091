# SPDX-License-Identifier: Apache-2.0
"""Work goes on, without another start, while the store is silent for all processes, longer than a
worker's lease, and while it is silent for the scheduler alone, whose peers pass its calls on."""
import time

from platform_cell import put_store_behind_proxies, step

PLATFORM = True
SHARED_OUTAGE_S = 14
OWN_OUTAGE_S = 8


def outlast(cell, proxies, seconds):
    """How many starts a task takes that runs for longer than the outage of these proxies."""
    before = cell.verdict()["starts"]
    _, job = cell.submit("e1", "scan", [step(1, 1000, 500, seconds * 1000 + 2000)])
    cell.wait("it runs", lambda: cell.verdict()["running"] == 1, 10)
    for proxy in proxies:
        proxy.silent_to = proxy.silent_back = True
    time.sleep(seconds)
    for proxy in proxies:
        proxy.heal()
    cell.wait("it ends", lambda: cell.state(job) == "completed", 20)
    return cell.verdict()["starts"] - before


def run(cell, say):
    proxies = put_store_behind_proxies(cell)
    cell.wait("a term began", lambda: cell.scheduler(), 10)
    time.sleep(2)  # until the members are published
    say("starts with the store silent for all: %d" % outlast(cell, proxies.values(), SHARED_OUTAGE_S))
    cell.wait_ready()
    alone = proxies[cell.scheduler()]
    say("starts with the store silent for the scheduler: %d" % outlast(cell, [alone], OWN_OUTAGE_S))
