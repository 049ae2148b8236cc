#!/bin/sh
# Builds the stand-ins that the cases start: Python files that only have to
# compile. They use nothing but the standard library.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py ./*/case.py <<'CHECK'
import sys

for name in sorted(set(sys.argv[1:])):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
