"""Observes the packets of open flows to measure loads and latencies.

Packets of flows that are not in the table are forwarded by their tag like
others. Upstreams answer clients directly, so a request counts as answered
when its client acknowledges more bytes.
"""

import collections
import math
import typing

import attrs

from _savoryhaven.model import packets
from _savoryhaven.model import upstreams

_HALF_MODULUS = packets.SEQUENCE_MODULUS // 2
# After its FIN, a client that gave up may repeat its last request within the
# longest retransmission interval.
CLOSED_FLOW_LIFETIME_S = 2.0


@attrs.define(eq=False, repr=False)
class ObservedFlow:
    """State of an open flow, taken from its client's packets.

    ``opening_sequence`` is the sequence number of the flow's opening, if this
    VM saw the first packet after it; otherwise it is that of a later byte.
    ``waiting_since`` is when the last part of the request in flight was first
    seen, infinity if there is none, and ``load_at_start`` the load per slot
    when the request began.
    ``answer_start`` is the sequence number at which the answer to the last
    request starts.
    """

    state: upstreams.UpstreamState
    opening_sequence: int
    acknowledged: int
    sequence: int
    seen_at: float
    waiting_since: float = math.inf
    requests: int = 0
    answer_start: int = 0
    load_at_start: float = 0.0
    ended: bool = False


@attrs.frozen(eq=False, repr=False)
class Observation:
    """Measurements from one packet.

    ``requests`` is the number of requests of the flow so far. ``latency_s``
    is the time from a request to its answer, negative if the packet
    acknowledges no answer. ``answer_bytes`` is the length of the answer that
    the packet shows to be complete, negative if there is none.
    """

    requests: int = 0
    begins_request: bool = False
    latency_s: float = -1.0
    load_at_start: float = 0.0
    answer_bytes: int = -1


# Shared by most packets, to save time on each of them.
EMPTY_OBSERVATION: typing.Final = Observation()


class FlowTable:
    """The flows that recently passed through this VM, up to a limit."""

    def __init__(self, limit: int) -> None:
        self.limit: typing.Final = limit
        self._flows: dict[packets.FlowKey, ObservedFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: packets.FlowKey) -> ObservedFlow | None:
        """Return a flow, or None."""
        return self._flows.get(key)

    def count_by_domain(self) -> collections.Counter[str]:
        """Return how many flows the upstreams of each failure domain have."""
        return collections.Counter(
            flow.state.upstream.failure_domain for flow in self._flows.values()
        )

    def observe(
        self,
        flow: ObservedFlow | None,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        now: float,
    ) -> Observation | None:
        """Record a packet of an open flow; return None if the table is full.

        ``flow`` is the result of ``get``. Most packets only acknowledge a
        part of an answer.
        """
        if flow is None or flow.state is not state:
            flow = self._start(packet, state, now)
            if flow is None:
                return None
        flow.seen_at = now
        load_at_start = flow.load_at_start
        latency_s = -1.0
        if packet.acknowledged != flow.acknowledged:
            latency_s = _record_acknowledgement(flow, packet, now)
        if packet.payload_bytes or packet.closing:
            return _observe_data(flow, packet, latency_s, load_at_start, now)
        if latency_s < 0:
            return EMPTY_OBSERVATION
        return Observation(flow.requests, False, latency_s, load_at_start)

    def move(
        self, flow: ObservedFlow, state: upstreams.UpstreamState, now: float
    ) -> None:
        """Record that a flow is at another upstream than its tag said."""
        waiting = flow.waiting_since != math.inf
        if waiting:
            flow.state.add_outstanding(-1, now)
            state.add_outstanding(1, now)
        flow.state = state

    def remove(self, key: packets.FlowKey, now: float) -> None:
        """Remove a flow and its request in flight."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            _end_request(flow, now)

    def expire(
        self,
        now: float,
        *,
        idle_s: float,
        get_request_timeout: typing.Callable[[packets.FlowKey], float],
    ) -> None:
        """Remove idle flows, and time out requests without an answer.

        A flow is idle after ``idle_s``. ``get_request_timeout`` returns the
        timeout of a flow's requests in seconds. A request that times out here
        may have been answered through another VM that now gets the flow's
        packets.
        """
        idle = []
        for key, flow in self._flows.items():
            limit_s = (
                min(idle_s, CLOSED_FLOW_LIFETIME_S) if flow.ended else idle_s
            )
            if now - flow.seen_at > limit_s:
                idle.append(key)
            elif flow.waiting_since == math.inf:
                continue
            elif now - flow.waiting_since > get_request_timeout(key):
                _end_request(flow, now)
                flow.state.note_failed_answer(now)
        for key in idle:
            self.remove(key, now)

    def _start(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        now: float,
    ) -> ObservedFlow | None:
        self.remove(packet.key, now)
        if len(self._flows) >= self.limit:
            return None
        before = packets.precede(packet.sequence)
        flow = ObservedFlow(state, before, packet.acknowledged, before, now)
        self._flows[packet.key] = flow
        return flow


def _record_acknowledgement(
    flow: ObservedFlow, packet: packets.FlowPacket, now: float
) -> float:
    if not _is_after(packet.acknowledged, flow.acknowledged):
        return -1.0
    flow.acknowledged = packet.acknowledged
    flow.state.note_answer(now)
    if flow.waiting_since == math.inf:
        return -1.0
    latency_s = now - flow.waiting_since
    _end_request(flow, now)
    return latency_s


def _observe_data(
    flow: ObservedFlow,
    packet: packets.FlowPacket,
    latency_s: float,
    load_at_start: float,
    now: float,
) -> Observation:
    """Record a packet that carries data or ends its client's side."""
    answered = _measure_answer(flow)
    begins = packet.payload_bytes > 0 and _record_data(flow, packet, now)
    if packet.closing:
        flow.ended = True
        _end_request(flow, now)
    elif not begins:
        answered = -1
        if latency_s < 0:
            return EMPTY_OBSERVATION
    return Observation(
        flow.requests, begins, latency_s, load_at_start, answered
    )


def _record_data(
    flow: ObservedFlow, packet: packets.FlowPacket, now: float
) -> bool:
    """Record data; return whether a request begins with it."""
    if not _is_after(packet.sequence, flow.sequence):
        return False
    flow.sequence = packet.sequence
    if flow.ended:
        return False
    if flow.waiting_since != math.inf:
        # The upstream works on a request once it has the whole body.
        flow.waiting_since = now
        return False
    if not packet.starts_request and flow.requests:
        # The upstream answered before it had the whole body.
        return False
    flow.waiting_since = now
    flow.answer_start = flow.acknowledged
    flow.state.add_outstanding(1, now)
    flow.load_at_start = flow.state.load / flow.state.upstream.slots
    if not packet.starts_request:
        # The request began at another VM.
        return False
    flow.requests += 1
    return True


def _measure_answer(flow: ObservedFlow) -> int:
    """Return the length of the last answer, negative if there was none.

    By the time the client sends more data or closes, it has acknowledged the
    whole answer.
    """
    if flow.ended or not flow.requests:
        return -1
    arrived = (
        flow.acknowledged - flow.answer_start
    ) % packets.SEQUENCE_MODULUS
    return arrived or -1


def _end_request(flow: ObservedFlow, now: float) -> None:
    if flow.waiting_since != math.inf:
        flow.waiting_since = math.inf
        flow.state.add_outstanding(-1, now)


def _is_after(number: int, other: int) -> bool:
    return 0 < (number - other) % packets.SEQUENCE_MODULUS < _HALF_MODULUS
