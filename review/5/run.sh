#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if not run.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/case.py" "$here"
