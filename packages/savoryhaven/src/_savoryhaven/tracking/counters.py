"""Counters of a VM: plain integers, read by metrics and dumps.

The packet path increments them and OpenTelemetry reads them on export, so
that no metrics call is made per packet.
"""

import collections
import enum


class Count(enum.Enum):
    """All counters, with the description of their metrics."""

    # The default hash of an enum member is computed in Python from its name.
    # That is slow, as the packet path counts several times per packet.
    __hash__ = object.__hash__

    FORWARDED = 'packets sent to upstreams'
    ANSWERED = 'packets sent back to callers'
    RELAYED = 'packets passed on to the owner of their bucket'
    HELD = 'packets that waited for a handover'
    OPENED = 'flows opened'
    STEERED = 'flows opened elsewhere than at their default upstream'
    DERIVED = 'packets without a flow, placed by the table'
    CLOSED = 'flows ended by their caller'
    EXPIRED = 'flows ended by being idle'
    REFUSED = 'openings refused'
    UNKNOWN_OUTCOME = 'callers told that the outcome is unknown'
    DROPPED_MALFORMED = 'packets dropped: malformed'
    DROPPED_TRUNCATED = 'packets dropped: truncated'
    DROPPED_FRAGMENT = 'packets dropped: fragment'
    DROPPED_TRANSPORT = 'packets dropped: neither TCP nor UDP'
    DROPPED_FOREIGN = 'packets dropped: no such service or upstream'
    DROPPED_HOPS = 'packets dropped: passed on too often'
    DROPPED_DOUBT = 'packets dropped: this VM may have been replaced'
    DROPPED_NO_OWNER = 'packets dropped: no VM may decide'
    DROPPED_NO_UPSTREAM = 'packets dropped: no upstream to send to'
    DROPPED_HELD = 'packets dropped: no handover came, or too many waited'
    DROPPED_UNCOPIED = 'openings dropped: no copy could be placed'
    DROPPED_REFUSAL = 'openings dropped: they could not be refused in words'
    DROPPED_PEER = 'datagrams dropped: not a message'
    COPIES_SENT = 'flows and refusals copied to peers'
    COPIES_HELD = 'flows and refusals copied from peers'
    HANDOVERS_SENT = 'handovers sent'
    HANDOVERS_TAKEN = 'handovers taken over'
    CONTROL_BYTES = 'bytes of control messages sent'
    DOCUMENT_ADOPTED = 'documents adopted'
    DOCUMENT_STALE = 'documents ignored: not newer'
    DOCUMENT_REFUSED = 'documents refused: invalid'
    PLATFORM_CALLS = 'calls to the platform'
    PLATFORM_FAILED = 'calls to the platform that failed'


class Counters(collections.Counter[Count]):
    """Counts by counter; absent ones are zero."""

    def as_values(self) -> dict[str, int]:
        """Return all counts by metric name."""
        return {count.name.lower(): self[count] for count in Count}
