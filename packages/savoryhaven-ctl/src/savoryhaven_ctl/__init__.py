"""Entry point of the operators' command ``savoryhavenctl``."""

from _savoryhaven_ctl.commands import main

__all__ = ['main']
