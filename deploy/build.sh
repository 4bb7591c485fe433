#!/bin/sh
# Installs the run-time dependencies and the packages of this repository that
# a VM needs into target/deps, and bundles what a VM imports when it starts.
# Everything is built aside and renamed, as VMs may start meanwhile.
set -e
deps=target/deps
if [ ! -e "$deps/.ready" ] || [ deploy/requirements.txt -nt "$deps/.ready" ]
then
    rm -rf "$deps.new"
    python3 -m pip install -q --no-deps --target "$deps.new" \
        -r deploy/requirements.txt
    touch "$deps.new/.ready"
    rm -rf "$deps"
    mv "$deps.new" "$deps"
fi

install_package() {
    new="$deps/.new-$(basename "$1")"
    package="$deps/$(basename "$1")"
    rm -rf "$new"
    cp -R "$1" "$new"
    find "$new" -name __pycache__ -prune -exec rm -rf {} +
    if diff -rq -x __pycache__ "$new" "$package" > /dev/null 2>&1
    then
        rm -rf "$new"
        return
    fi
    rm -rf "$deps/.old"
    if [ -e "$package" ]
    then
        mv "$package" "$deps/.old"
    fi
    mv "$new" "$package"
    rm -rf "$deps/.old"
    python3 -m compileall -q "$package"
}

install_package packages/savoryhaven/src/savoryhaven
install_package packages/savoryhaven/src/_savoryhaven
install_package platform/src/savoryhaven_platform
PYTHONPATH="$deps" python3 -X no_debug_ranges deploy/bundle.py "$deps" target/modules.bundle
