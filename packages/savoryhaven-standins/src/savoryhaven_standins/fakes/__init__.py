"""Fakes of time, network, platform and upstreams.

The tests run the real VM code and replace only what the hooks provide. Time
is virtual, so minutes pass in an instant, and runs with the same seed are
identical.
"""

from savoryhaven_standins.fakes.cluster import Cluster
from savoryhaven_standins.fakes.documents import make_document
from savoryhaven_standins.fakes.documents import ONE
from savoryhaven_standins.fakes.documents import TWO
from savoryhaven_standins.fakes.loop import LoopClock
from savoryhaven_standins.fakes.loop import run_virtually
from savoryhaven_standins.fakes.loop import VirtualLoop
from savoryhaven_standins.fakes.packets import build_packet
from savoryhaven_standins.fakes.packets import make_caller
from savoryhaven_standins.fakes.packets import make_request
from savoryhaven_standins.fakes.platform import MemoryPlatform
from savoryhaven_standins.fakes.platform import Platform

__all__ = [
    'ONE',
    'TWO',
    'Cluster',
    'LoopClock',
    'MemoryPlatform',
    'Platform',
    'VirtualLoop',
    'build_packet',
    'make_caller',
    'make_document',
    'make_request',
    'run_virtually',
]
