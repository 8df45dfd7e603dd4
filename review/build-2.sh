#!/bin/sh
# Checks and compiles the stand-ins of the scripts; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -m py_compile review/standins2.py
for script in review/[6-9]/*.py review/10/*.py; do
    if [ -e "$script" ]; then
        python3 -m py_compile "$script"
    fi
done
