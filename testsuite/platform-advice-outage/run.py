# SPDX-License-Identifier: Apache-2.0
"""The advice service resets all connections for a while, and nothing is submitted afterwards: the
jobs that wait for advice are placed all the same. Every lane has failed then, and the steps don't
ask again while their requests are queued."""

import time

from cell import free_ports
from platform_cell import step
from proxy import Proxy, ProxyThread

PLATFORM = True
JOBS = 20
OUTAGE_S = 1.0


def run(cell, say):
    proxies, proxy = ProxyThread(), Proxy(free_ports(1)[0])
    proxy.target = "127.0.0.1:%d" % (cell.store + 1)
    proxies.add(proxy)
    for name in sorted(cell.entries):
        cell.point(name, advice=proxy.port)
        cell.stop(name)
        cell.restart(name)
    cell.wait_ready()
    cell.wait("jobs are accepted", lambda: cell.submit("e1", "check", [step(1)])[0] == 200, 10)
    say("before the outage: %s" % ", ".join(sorted(cell.finish())))
    proxy.refusing = True
    proxies.call(proxy.reset_all)
    statuses = [cell.submit("e%d" % (i % 3 + 1), "check", [step(1)])[0] for i in range(JOBS)]
    say("submitted during the outage: %d of %d" % (statuses.count(200), JOBS))
    time.sleep(OUTAGE_S)
    proxy.heal()
    # The longest backoff of a lane is 2.8 s.
    say("after the outage: %s" % ", ".join(sorted(cell.finish(15))))
