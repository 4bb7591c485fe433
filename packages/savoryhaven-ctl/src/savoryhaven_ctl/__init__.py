"""Entry point of the operators' binary ``savoryhavenctl``."""

from _savoryhaven_ctl.commands import main

__all__ = ['main']
