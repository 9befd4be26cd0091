# SPDX-License-Identifier: Apache-2.0
"""Transactions are carried out and their answers lost: of submissions, of saves, and of the saves
that end a job and remove its progress."""
from platform_cell import step

PLATFORM = True


def run(cell, say):
    for _ in range(3):
        cell.control({"lose_answers": 6})
        cell.flood(16)
    say("all ended: %s" % (list(cell.finish()) == ["completed"]))
    cell.control({"lose_removes": 3})
    for i in range(4):
        # The first step's ends are saved as progress before the last step ends.
        cell.submit("e%d" % (i % 3 + 1), "scan", [step(2, 800, 400, 50), step(1, 800, 400, 400, after=[0])])
    say("all ended: %s" % (list(cell.finish()) == ["completed"]))
