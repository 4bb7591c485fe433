"""Runs ``python -m savoryhaven``."""

import sys

from savoryhaven import cli

sys.exit(cli.main())
