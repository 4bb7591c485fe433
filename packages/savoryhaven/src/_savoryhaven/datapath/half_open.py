"""Flows that are half-open at upstreams which lost the race to answer.

Copies of one opening may go to several upstreams, and each of them repeats its
answer until a packet of the flow arrives there. The flow is open at one of
them. Each answer of another gives that one's tag to the client, whose next
packet carries it. An upstream answers with the last tag that it got, so the
others get the opening again, with the tag of the one that has the flow: their
answers carry the right tag then, and VMs need not remember where the flow is.
"""

import typing

import attrs

from _savoryhaven.datapath import openings as openings_module
from _savoryhaven.datapath import parts as parts_module
from _savoryhaven.model import packets
from _savoryhaven.model import upstreams
from _savoryhaven.placement import selection
from _savoryhaven.telemetry import counters as counters_module

# An upstream repeats its answer up to eight times, the last one after 9.4 s,
# and gives up 1.6 s later.
HALF_OPEN_LIFETIME_S = 11.0
# Flows that are remembered: at 500 B each they use 0.5 of a VM's 25 MB.
HALF_OPEN_LIMIT = 1_000
# Pauses between repetitions, as datagrams may be lost; they double.
RETAG_INTERVAL_S = 0.5
RETAG_MOST = 4
# Shortest interval between repetitions because packets have the wrong tag.
# Those in flight have it for a round trip through client and upstream.
RETAG_MIN_INTERVAL_S = 0.2

_Count = counters_module.Count


@attrs.define(eq=False, repr=False)
class _HalfOpen:
    """An opening and the upstreams that this VM has sent it to.

    ``owner`` has the open flow; it is None until this VM knows it.
    ``retagged_at`` is when the others last got the opening with its tag.
    """

    opening: openings_module.Opening
    owner: upstreams.UpstreamState | None = None
    retagged: int = 0
    retagged_at: float = 0.0


class HalfOpenFlows:
    """The openings of this VM that more than one upstream may answer."""

    def __init__(
        self,
        parts: parts_module.Parts,
        list_evacuated: typing.Callable[[float], frozenset[str]],
    ) -> None:
        self._parts: typing.Final = parts
        self._list_evacuated: typing.Final = list_evacuated
        # The one that was added first comes first.
        self._flows: dict[packets.FlowKey, _HalfOpen] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def add(
        self,
        key: packets.FlowKey,
        opening: openings_module.Opening,
        owner: upstreams.UpstreamState | None,
        now: float,
    ) -> None:
        """Add an opening, and retag its flow where it is not open.

        ``owner`` has the flow, None if that is not known. Nothing is done if
        no other upstream is known to have got the opening.
        """
        if all(state is owner for state in opening.tried):
            if not self._parts.places.is_contested(key, opening.sequence):
                return
        known = self._flows.get(key)
        if known is None or known.opening is not opening:
            known = self._insert(key, opening)
        if owner is None or known.owner is owner:
            return
        known.owner = owner
        known.retagged = 0
        self._retag(key, known, known.opening.tried, now)

    def note_opening(self, packet: packets.FlowPacket) -> None:
        """Forget a flow if its port is used for another one."""
        known = self._flows.get(packet.key)
        if known is not None and packet.sequence != known.opening.sequence:
            del self._flows[packet.key]

    def note_packet(
        self,
        packet: packets.FlowPacket,
        owner: upstreams.UpstreamState,
        now: float,
    ) -> None:
        """Record where a packet of an open flow is sent.

        The first one may come after this VM has stopped waiting for it, if
        the VM was suspended. After the last one nothing has to be corrected.
        """
        known = self._flows.get(packet.key)
        if known is None:
            return
        if known.owner is None:
            self.add(packet.key, known.opening, owner, now)
        if packet.closing:
            del self._flows[packet.key]

    def note_place(
        self,
        place: packets.FlowPlace,
        owner: upstreams.UpstreamState,
        now: float,
    ) -> None:
        """Record that a peer knows which upstream has a flow."""
        known = self._flows.get(place.key)
        if known is not None and known.opening.sequence == place.sequence:
            self.add(place.key, known.opening, owner, now)

    def note_wrong_tag(
        self,
        packet: packets.FlowPacket,
        owner: upstreams.UpstreamState,
        now: float,
    ) -> None:
        """Retag the flow at the upstream whose tag one of its packets has.

        Another VM may have sent the opening there.
        """
        known = self._flows.get(packet.key)
        tagged = self._parts.catalogue.by_tag.get(packet.tag)
        if known is None or tagged is None:
            return
        if now - known.retagged_at < RETAG_MIN_INTERVAL_S:
            return
        known.owner = owner
        self._retag(packet.key, known, [tagged], now)

    def expire(self, now: float) -> None:
        """Repeat what may have been lost, and forget what has ended."""
        ended = []
        for key, known in self._flows.items():
            if now - known.opening.first_sent_at > HALF_OPEN_LIFETIME_S:
                ended.append(key)
            elif known.owner is not None and known.retagged < RETAG_MOST:
                pause_s = RETAG_INTERVAL_S * 2 ** (known.retagged - 1)
                if now - known.retagged_at >= pause_s:
                    answering = [
                        state
                        for state in known.opening.tried
                        if state.answered_at > known.opening.first_sent_at
                    ]
                    self._retag(key, known, answering, now)
        for key in ended:
            del self._flows[key]

    def _insert(
        self, key: packets.FlowKey, opening: openings_module.Opening
    ) -> _HalfOpen:
        self._flows.pop(key, None)
        if len(self._flows) >= HALF_OPEN_LIMIT:
            del self._flows[next(iter(self._flows))]
        known = self._flows[key] = _HalfOpen(opening)
        return known

    def _retag(
        self,
        key: packets.FlowKey,
        known: _HalfOpen,
        states: typing.Iterable[upstreams.UpstreamState],
        now: float,
    ) -> None:
        """Send the opening again with the tag of the flow's upstream."""
        known.retagged += 1
        known.retagged_at = now
        tagged = self._parts.codec.write_tag(
            known.opening.raw, known.owner.tag
        )
        for state in dict.fromkeys(states):
            if state is known.owner or not self._may_get(state, known, now):
                continue
            self._parts.outputs.send(state.prefix + tagged, state.sockaddr)
            self._parts.counters[_Count.RETAGGED] += 1
            self._parts.events.emit(
                'opening_retagged',
                flow=packets.format_flow(key),
                upstream=state.upstream.upstream_id,
                owner=known.owner.upstream.upstream_id,
                number=known.retagged,
            )

    def _may_get(
        self, state: upstreams.UpstreamState, known: _HalfOpen, now: float
    ) -> bool:
        """Return whether an upstream may get the opening again.

        If the first copy was lost, this one is the first to arrive. So an
        upstream that takes no new flows any more gets it only as long as its
        client might repeat it, too.
        """
        age_s = now - known.opening.first_sent_at
        if age_s <= openings_module.OPENING_LIFETIME_S:
            return state.removed_at == float('inf')
        if state.upstream.failure_domain in self._list_evacuated(now):
            return False
        return selection.takes_new_flows(state) and (
            state.removed_at == float('inf')
        )
