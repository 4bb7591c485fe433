"""Watches flows pass by, to learn what upstreams are doing.

Nothing here decides where a packet goes: a flow that is not in the table is
placed by its tag all the same. Upstreams answer clients directly, so a
request counts as answered when its client acknowledges more bytes.
"""

import math
import typing

import attrs

from _savoryhaven.datapath import packets
from _savoryhaven.placement import upstreams

# Sequence numbers are 32 bits wide and wrap around.
_SEQUENCE_MODULUS = 1 << 32
_HALF = _SEQUENCE_MODULUS // 2
# A client that gave up may repeat its last request for so long after its
# FIN, in seconds: the longest interval of repetitions.
ENDED_KEPT_S = 2.0


@attrs.define(eq=False, repr=False)
class ObservedFlow:
    """An open flow, as its client's packets show it.

    ``waiting_since`` is when the request at work was first seen, infinity
    while there is none. ``load_met`` is the load per slot that the request at
    work found. ``answer_from`` is the first byte of the answer to the last
    request.
    """

    state: upstreams.UpstreamState
    acknowledged: int
    sequence: int
    seen_at: float
    waiting_since: float = math.inf
    requests: int = 0
    answer_from: int = 0
    load_met: float = 0.0
    ended: bool = False


@attrs.frozen(eq=False, repr=False)
class Observation:
    """What one packet showed.

    ``requests`` is how many requests the flow has carried so far.
    ``latency_s`` is the time from a request to its answer, negative if the
    packet shows no answer. ``answer_bytes`` is the length of an answer whose
    end the packet shows, negative if it shows none.
    """

    requests: int = 0
    begins_request: bool = False
    latency_s: float = -1.0
    load_met: float = 0.0
    answer_bytes: int = -1


# What most packets show; they share it, as each packet's time counts.
NOTHING_NEW: typing.Final = Observation()


class FlowTable:
    """The flows that passed through this VM lately, up to a limit."""

    def __init__(self, limit: int) -> None:
        self.limit: typing.Final = limit
        self._flows: dict[packets.FlowKey, ObservedFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: packets.FlowKey) -> ObservedFlow | None:
        """Return a flow."""
        return self._flows.get(key)

    def observe(
        self,
        flow: ObservedFlow | None,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        now: float,
    ) -> Observation | None:
        """Note a packet of an open flow; None at the limit of flows.

        ``flow`` is what ``get`` returned. Most packets acknowledge a part of
        an answer, and show nothing else.
        """
        if flow is None or flow.state is not state:
            flow = self._start(packet, state, now)
            if flow is None:
                return None
        flow.seen_at = now
        load_met = flow.load_met
        latency_s = -1.0
        if packet.acknowledged != flow.acknowledged:
            latency_s = _note_acknowledged(flow, packet, now)
        if packet.payload_bytes or packet.closing:
            return _observe_data(flow, packet, latency_s, load_met, now)
        if latency_s < 0:
            return NOTHING_NEW
        return Observation(flow.requests, False, latency_s, load_met)

    def remove(self, key: packets.FlowKey, now: float) -> None:
        """Forget a flow and its request."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            _end_request(flow, now)

    def expire(
        self,
        now: float,
        *,
        idle_s: float,
        read_patience: typing.Callable[[packets.FlowKey], float],
    ) -> None:
        """Forget idle flows, and give up requests without an answer.

        A flow is idle after ``idle_s``; a request is given up after what
        ``read_patience`` returns for its flow, in seconds. Its answer may be
        seen by another VM, which the flow's packets reach by now.
        """
        idle = []
        for key, flow in self._flows.items():
            limit_s = min(idle_s, ENDED_KEPT_S) if flow.ended else idle_s
            if now - flow.seen_at > limit_s:
                idle.append(key)
            elif flow.waiting_since == math.inf:
                continue
            elif now - flow.waiting_since > read_patience(key):
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
        before = (packet.sequence - 1) % _SEQUENCE_MODULUS
        flow = ObservedFlow(state, packet.acknowledged, before, now)
        self._flows[packet.key] = flow
        return flow


def _note_acknowledged(
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
    load_met: float,
    now: float,
) -> Observation:
    """Note a packet that carries data or ends its client's side."""
    answered = _measure_answer(flow)
    begins = packet.payload_bytes > 0 and _note_data(flow, packet, now)
    if packet.closing:
        flow.ended = True
        _end_request(flow, now)
    elif not begins:
        answered = -1
        if latency_s < 0:
            return NOTHING_NEW
    return Observation(flow.requests, begins, latency_s, load_met, answered)


def _note_data(
    flow: ObservedFlow, packet: packets.FlowPacket, now: float
) -> bool:
    """Note data; return whether a request begins with it."""
    if not _is_after(packet.sequence, flow.sequence):
        return False
    flow.sequence = packet.sequence
    if flow.ended:
        return False
    if flow.waiting_since != math.inf:
        return False
    flow.waiting_since = now
    flow.answer_from = flow.acknowledged
    flow.requests += 1
    flow.state.add_outstanding(1, now)
    flow.load_met = flow.state.load / flow.state.upstream.slots
    return True


def _measure_answer(flow: ObservedFlow) -> int:
    """Return how much of the last answer arrived, negative if none did.

    The client acknowledges all of it by the time it goes on or closes.
    """
    if flow.ended or not flow.requests:
        return -1
    arrived = (flow.acknowledged - flow.answer_from) % _SEQUENCE_MODULUS
    return arrived or -1


def _end_request(flow: ObservedFlow, now: float) -> None:
    if flow.waiting_since != math.inf:
        flow.waiting_since = math.inf
        flow.state.add_outstanding(-1, now)


def _is_after(number: int, other: int) -> bool:
    return 0 < (number - other) % _SEQUENCE_MODULUS < _HALF
