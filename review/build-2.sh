#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the deploy file's
# programs. Their stand-ins need nothing but the standard library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins2
