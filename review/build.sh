#!/bin/sh
# Compiles the stand-ins of the cases. They need Python 3.11 and nothing else.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q standins 1 2 3 4 5
