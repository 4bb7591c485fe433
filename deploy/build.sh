#!/bin/sh
# Installs the run-time dependencies and the packages of this repository that
# a VM needs into target/deps.
set -e
deps=target/deps
if [ ! -e "$deps/.ready" ] || [ deploy/requirements.txt -nt "$deps/.ready" ]
then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" \
        -r deploy/requirements.txt
    touch "$deps/.ready"
fi
rm -rf "$deps/savoryhaven" "$deps/_savoryhaven" "$deps/savoryhaven_platform"
cp -R packages/savoryhaven/src/savoryhaven packages/savoryhaven/src/_savoryhaven \
    platform/src/savoryhaven_platform "$deps"
python3 -m compileall -q "$deps/savoryhaven" "$deps/_savoryhaven" \
    "$deps/savoryhaven_platform"
