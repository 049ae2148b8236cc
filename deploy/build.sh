#!/bin/sh
# Installs the libraries and copies this workspace's packages into target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.libraries" -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --disable-pip-version-check --upgrade \
        --target "$deps" --requirement deploy/requirements.txt
    touch "$deps/.libraries"
fi
for package in packages/*/lacewingdrum_* platform/lacewingdrum_*; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
find "$deps"/lacewingdrum_* -name "*_test.py" -delete
# Processes may start from a read-only copy, where compiling would not be kept.
python3 -m compileall -q "$deps"/lacewingdrum_*
