"""Entry point of the binary ``savoryhaven``."""

from _savoryhaven.cli import main

__all__ = ['main']
