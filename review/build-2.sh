#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The stand-ins of the cases 4 to 8 are Python files and need no build: checks that they can be read.
set -euo pipefail
Here=$(cd "$(dirname "$0")" && pwd)
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed" >&2; exit 1; }
for File in "$Here"/common-2/*.py "$Here"/[4-8]/case.py; do
  [ ! -e "$File" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$File"
done
# Case 4 upgrades from an earlier build, which is made from the repository's history.
Earlier=d7894f4
Top=$(cd "$Here/.." && pwd)
Folder=$Top/build-review-2
if [ ! -x "$Folder/target/bin/valveshelf" ]; then
  rm -rf "$Folder"
  mkdir -p "$Folder"
  git -C "$Top" archive "$Earlier" | tar -x -C "$Folder"
  cd "$Folder"
  cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DVALVESHELF_TESTS=OFF -DVALVESHELF_BENCHMARKS=OFF
  cmake --build target --target valveshelf -j8
fi
