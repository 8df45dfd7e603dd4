#!/bin/sh
# Installs dependencies and packages under target/deps, where the platform looks for them.
set -eu
deps=target/deps
stamp=target/deps-installed
if [ ! -e "$stamp" ] || [ constraints.txt -nt "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" \
        --constraint constraints.txt --requirement deploy/requirements.txt
    touch "$stamp"
fi
rm -rf "$deps"/skylarkmoor_*
cp -r libs/core/src/* libs/policy/src/* libs/clients/src/* libs/process/src/* libs/gateway/src/* \
    platform/skylarkmoor_adapter "$deps"/
python3 -m compileall -q "$deps"
