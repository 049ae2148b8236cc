#!/bin/sh
# Installs the libraries and copies this workspace's packages into target/deps.
# All is made in target/stage; files that differ are then renamed into place, so
# that a process that starts meanwhile finds each of them whole.
set -eu
deps=target/deps
stage=target/stage
mkdir -p "$deps"
if [ "${1:-}" != locked ]; then
    # Builds wait for each other; the lock ends with the process that has it.
    exec python3 - "$0" <<'LOCK'
import fcntl
import os
import sys

lock = os.open("target/.build-lock", os.O_CREAT | os.O_RDWR, 0o644)
fcntl.flock(lock, fcntl.LOCK_EX)
os.set_inheritable(lock, True)
os.execvp("sh", ["sh", sys.argv[1], "locked"])
LOCK
fi
# Processes may start from a read-only copy, where compiling would not be kept.
# Hashes make equal sources equal files, whenever they were copied.
compile() {
    python3 -m compileall -q --invalidation-mode unchecked-hash \
        -s "$stage" -p "$deps" "$@"
}
rm -rf "$stage"
mkdir "$stage"
has_libraries=1
if [ ! "$deps/.libraries" -nt deploy/requirements.txt ]; then
    has_libraries=0
    python3 -m pip install --quiet --disable-pip-version-check --no-compile \
        --target "$stage" --requirement deploy/requirements.txt
    # A library may bring files that do not compile.
    compile "$stage" || :
fi
for package in packages/*/lacewingdrum_* platform/lacewingdrum_*; do
    cp -R "$package" "$stage/"
done
find "$stage"/lacewingdrum_* -name "*_test.py" -delete
find "$stage"/lacewingdrum_* -name "*.pyc" -delete
compile "$stage"/lacewingdrum_*
python3 - "$stage" "$deps" <<'PLACE'
import filecmp
import os
import pathlib
import sys

stage, deps = map(pathlib.Path, sys.argv[1:])
staged = sorted(path for path in stage.rglob("*") if not path.is_dir())
wanted = {path.relative_to(stage) for path in staged}
for path in staged:
    placed = deps / path.relative_to(stage)
    if placed.is_file() and filecmp.cmp(path, placed, shallow=False):
        continue
    placed.parent.mkdir(parents=True, exist_ok=True)
    os.replace(path, placed)
for package in deps.glob("lacewingdrum_*"):
    for path in sorted((package, *package.rglob("*")), reverse=True):
        if path.is_dir():
            if not any(path.iterdir()):
                path.rmdir()
        elif path.relative_to(deps) not in wanted:
            path.unlink()
PLACE
if [ "$has_libraries" = 0 ]; then
    touch "$deps/.libraries"
fi
rm -rf "$stage"
