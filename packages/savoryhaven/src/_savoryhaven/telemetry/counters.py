"""Counters of a VM: plain integers that metrics and dumps read.

The packet path increments them directly, without a metrics call per packet.
"""

import bisect
import collections
import enum


class Count(enum.Enum):
    """The counters of a VM that balances by tags, with their descriptions."""

    # The packet path counts each packet, and Enum hashes a member's name.
    __hash__ = object.__hash__

    FORWARDED = 'packets of open flows sent to upstreams'
    OPENED = 'openings sent to an upstream'
    REPEATED = 'copies of openings sent to the same upstream'
    MOVED = 'copies of openings sent to a further upstream'
    RETAGGED = 'openings sent again with the tag of the flow\'s upstream'
    CORRECTED = 'packets of open flows with the tag of another upstream'
    PLACES_ANNOUNCED = 'upstreams of flows announced to peers'
    PLACES_COMPARED = 'requests for places of flows that peers know'
    NOT_MOVED = 'copies not sent to a further upstream: too many announced'
    SPILLED = 'openings sent to another service than their first one'
    REFUSED = 'openings reset: no route, or no upstream for it'
    REFUSED_EVACUATED = 'openings reset: all domains for them are evacuated'
    REFUSED_COLD = 'openings reset: all upstreams of their service are cold'
    COLD_WITHHELD = 'openings for which a cold upstream was left out'
    RESET = 'open flows reset: their upstream has ended'
    ANSWERED = 'requests whose answers clients acknowledged'
    SHORT_ANSWERS = 'answers much shorter than usual: perhaps errors'
    SPEEDS_CHANGED = 'upstreams found to be slow, or no longer slow'
    DROPPED_MALFORMED = 'packets dropped: malformed'
    DROPPED_UNKNOWN_TAG = 'packets dropped: no upstream has their tag'
    DROPPED_UNINFORMED = 'openings dropped: too little is known as yet'
    DROPPED_WAITED = 'openings dropped: they waited while the VM was paused'
    DROPPED_OPEN = 'openings dropped: their flow is open already'
    DROPPED_EVACUATED = 'copies dropped: evacuated, but perhaps answered'
    DROPPED_SEND = 'packets dropped: the socket took no more'
    FLOWS_UNOBSERVED = 'packets of flows beyond the limit of the table'
    STORE_CALLS = 'calls to the store'
    STORE_FAILED = 'calls to the store that failed'
    STORE_UNREADABLE = 'answers of the store that cannot be read'
    FIELDS_UNREADABLE = 'fields of configurations that cannot be read'
    PEER_BYTES = 'bytes sent to peers'
    SNAPSHOTS_REQUESTED = 'requests for snapshots sent to peers'
    SNAPSHOTS_DEFERRED = 'requests of peers not answered: others are served'
    SNAPSHOT_PARTS_SENT = 'parts of snapshots sent to peers'
    SNAPSHOT_PARTS_RECEIVED = 'parts of snapshots received from peers'
    SNAPSHOTS_INCOMPLETE = 'snapshots requested again as parts were missing'
    PEER_MALFORMED = 'datagrams of peers dropped: not a message'
    PEER_FIELDS_UNREADABLE = 'fields of peers\' messages that cannot be read'
    SKIPPED_ENTRIES = 'entries of the store that cannot be used'
    EVACUATIONS_NOT_SHARED = 'sets of domains too large for heartbeats'
    LOG_DROPPED = 'log lines left out to bound their volume'
    RELOADED = 'settings reloaded'
    RELOAD_FAILED = 'settings that could not be used'


class Counters(collections.Counter[enum.Enum]):
    """Counter values by ``Count``; absent ones are zero."""


# Upper bounds of buckets, from a round trip to the longest deadline.
LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Histogram:
    """Counts of values by bucket, and their sum."""

    def __init__(self, bounds: tuple[float, ...] = LATENCY_BOUNDS_S) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def record(self, value: float) -> None:
        """Count a value in its bucket."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value
