# SPDX-License-Identifier: Apache-2.0
"""Runs testsuite/NAME/run.py over real processes and compares its transcript with the golden
file reference.txt. With VALVESHELF_UPDATE=1 the golden file is written anew.

A run.py that says PLATFORM = True gets a cell on the stand-in of the users' platform.

A run.py has one function, run(cell, say): it drives the cell and says what a reader should see.
What it says must not hold times, ports or ids of processes.
"""
import difflib
import importlib.util
import os
import shutil
import sys
import tempfile
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from cell import Cell, KITAMI, OLANO, TOP
from platform_cell import PlatformCell


def load(name):
    path = os.path.join(TOP, "testsuite", name, "run.py")
    spec = importlib.util.spec_from_file_location("session_" + name.replace("-", "_"), path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def main():
    name = sys.argv[1]
    module = load(name)
    folder = tempfile.mkdtemp(prefix="valveshelf-session-%s-" % name)
    said = []
    on_platform = getattr(module, "PLATFORM", False)
    cell = (PlatformCell if on_platform else Cell)(folder, **getattr(module, "CELL", {}))
    failed = False
    try:
        cell.start()
        cell.wait_ready(30)
        if not on_platform:
            cell.apply_config("olano", OLANO)
            cell.apply_config("kitami", KITAMI)
        module.run(cell, said.append)
        if on_platform:
            clean = cell.say_verdict(said.append)
        else:
            clean = cell.audit() == 0
            said.append("auditor: " + ("clean" if clean else "BROKEN"))
        # No golden file can bless a break.
        failed = not clean
    except Exception:
        traceback.print_exc()
        failed = True
    finally:
        cell.end()
    reference = os.path.join(TOP, "testsuite", name, "reference.txt")
    got = "".join(line + "\n" for line in said)
    if os.environ.get("VALVESHELF_UPDATE") and not failed:
        with open(reference, "w") as out:
            out.write(got)
    want = open(reference).read() if os.path.exists(reference) else ""
    if got == want and not failed:
        shutil.rmtree(folder, ignore_errors=True)
        print("session %s matches its reference" % name)
        return 0
    sys.stdout.writelines(difflib.unified_diff(want.splitlines(True), got.splitlines(True),
                                               "reference.txt", "this run"))
    print("session %s differs; records and logs in %s" % (name, folder))
    return 1


if __name__ == "__main__":
    sys.exit(main())
