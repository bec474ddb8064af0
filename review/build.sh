#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python programs that use its standard library
# alone, so that there is nothing to compile; the product is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/*.py [0-9]*/case.py <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files are sound")
PYTHON
