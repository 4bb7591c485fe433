#!/bin/sh
# Compiles the stand-ins and the scripts of the cases. They need Python 3.11
# and nothing else; the VMs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q standins [0-9]*
