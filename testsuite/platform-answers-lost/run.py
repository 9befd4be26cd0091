# SPDX-License-Identifier: Apache-2.0
"""Transactions are carried out and their answers lost, of submissions and of saves."""

PLATFORM = True


def run(cell, say):
    for _ in range(3):
        cell.control({"lose_answers": 6})
        cell.flood(16)
    say("all ended: %s" % (list(cell.finish()) == ["completed"]))
