#!/bin/sh
# Builds the stand-ins of review/11 to review/15. They use the standard
# library alone, so that only their syntax is checked, without writing files.
set -e
cd "$(dirname "$0")"
python3 -S -P - standins3/*.py 1[1-5]/*.py <<'EOF'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        compile(file.read(), path, 'exec')
EOF
