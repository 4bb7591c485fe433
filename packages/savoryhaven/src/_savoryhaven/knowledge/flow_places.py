"""The upstreams of flows whose packets may carry a wrong tag.

When copies of an opening go to different upstreams, more than one may answer,
and the client's packets carry the tag of the last answer. The flow is at the
upstream that has the end of its handshake, and the first packet after the
opening has that one's tag. The VM that sees this packet announces it to its
peers, as the fabric may send later ones to any VM.
"""

import typing

import attrs

from _savoryhaven.model import digests
from _savoryhaven.model import packets
from _savoryhaven.telemetry import counters as counters_module

# Longer than any flow, which lasts at most 60 s.
PLACE_LIFETIME_S = 65.0
# VMs compare the places that they have known for longer than announcements
# and their repetition take, and not longer than flows last.
COMPARED_MIN_S = 2.0
COMPARED_MAX_S = 60.0
_DIGEST_BITS = 32
# Flows that are remembered: at 500 B each they use 2 of a VM's 25 MB.
PLACE_LIMIT = 4_000
# What announcements may use at once of their share of a VM's control traffic.
# Beyond it, copies of openings go to the upstream that they went to before.
# The places of flows that opened meanwhile may use as much again.
ANNOUNCED_BURST_BYTES = 16_000.0
# Places in a datagram, at 32 bytes each.
ANNOUNCED_MAX_PLACES = 24

_Count = counters_module.Count


def _ignore_news(place: packets.FlowPlace, now: float) -> None:
    """Do nothing about a peer's announcement."""


@attrs.define(eq=False, repr=False)
class _Entry:
    """What is known of a flow from one opening.

    ``tried`` are the tags of upstreams that VMs sent copies to. ``place`` is
    None until a packet of the open flow was seen, at ``decided_at``;
    ``digest`` is that of the place.
    """

    sequence: int
    noted_at: float
    tried: frozenset[int] = frozenset()
    place: packets.FlowPlace | None = None
    decided_at: float = 0.0
    digest: int = 0


class FlowPlaces:
    """The flows that more than one upstream may have answered, up to a limit.

    ``announce`` sends places to peers, and returns how many bytes it sent;
    ``get_spare_rate`` returns how many bytes per second it may send.
    ``on_news`` is called with what a peer has announced, unless it was known.
    """

    def __init__(
        self,
        announce: typing.Callable[[tuple[packets.FlowPlace, ...], float], int],
        get_spare_rate: typing.Callable[[], float],
        *,
        counters: counters_module.Counters,
    ) -> None:
        self._announce: typing.Final = announce
        self._get_spare_rate: typing.Final = get_spare_rate
        self._counters: typing.Final = counters
        self.on_news: typing.Callable[[packets.FlowPlace, float], None]
        self.on_news = _ignore_news
        # The entry that was made first comes first.
        self._entries: dict[packets.FlowKey, _Entry] = {}
        # What the next regular announcement has: places of flows that were
        # announced once, and copies whose flows this VM has not seen open.
        self._waiting: list[packets.FlowPlace] = []
        self._credit_bytes = ANNOUNCED_BURST_BYTES
        self._credited_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def may_contest(self, now: float) -> bool:
        """Return whether an opening may be sent to a further upstream.

        If the two could not be announced, peers would not know which of them
        has the flow.
        """
        return self._update_credit(now) > 0

    def _update_credit(self, now: float) -> float:
        elapsed_s = now - self._credited_at
        self._credited_at = now
        self._credit_bytes = min(
            ANNOUNCED_BURST_BYTES,
            self._credit_bytes + elapsed_s * self._get_spare_rate(),
        )
        return self._credit_bytes

    def list_tried(self, opening: packets.FlowPacket) -> frozenset[int]:
        """Return the tags of upstreams that VMs sent copies to."""
        entry = self._find(opening.key, opening.sequence)
        return frozenset() if entry is None else entry.tried

    def is_contested(self, key: packets.FlowKey, sequence: int) -> bool:
        """Return whether VMs sent an opening to several upstreams."""
        entry = self._find(key, sequence)
        return entry is not None and bool(entry.tried)

    def is_open(self, opening: packets.FlowPacket) -> bool:
        """Return whether the flow of an opening is known to be open."""
        entry = self._find(opening.key, opening.sequence)
        return entry is not None and entry.place is not None

    def is_undecided(self, packet: packets.FlowPacket) -> bool:
        """Return whether a packet shows where a contested flow is.

        Only the first one after the opening is certain to have the right tag.
        """
        entry = self._find(packet.key, packets.precede(packet.sequence))
        return entry is not None and entry.place is None

    def find_tag(self, packet: packets.FlowPacket) -> int | None:
        """Return the tag of the upstream that has a flow, None if unknown."""
        entry = self._entries.get(packet.key)
        if entry is None or entry.place is None:
            return None
        if not packets.is_same_flow(
            packet.acknowledged, entry.place.acknowledged
        ):
            return None
        return entry.place.tag

    def note_copy(
        self,
        opening: packets.FlowPacket,
        tag: int,
        now: float,
        *,
        at_once: bool,
    ) -> None:
        """Record that an opening goes to one of several upstreams.

        Peers are told ``at_once`` if one of them may have the open flow, else
        only if no packet of the flow comes here soon.
        """
        place = packets.FlowPlace(*opening.key, opening.sequence, tag)
        self._merge(place, now)
        if not at_once:
            self._waiting.append(place)
        elif self.may_contest(now):
            self._send((place,), now)

    def decide(self, place: packets.FlowPlace, now: float) -> bool:
        """Announce which upstream has an open flow; return if it is news."""
        if not self._merge(place, now):
            return False
        if self._update_credit(now) > -ANNOUNCED_BURST_BYTES:
            self._send((place,), now)
            self._waiting.append(place)
        return True

    def announce_waiting(self, now: float) -> None:
        """Announce what waits, and places again, as datagrams may be lost."""
        waiting = [place for place in self._waiting if self._is_due(place)]
        self._waiting.clear()
        if waiting and self.may_contest(now):
            self._send(tuple(waiting[:ANNOUNCED_MAX_PLACES]), now)

    def _is_due(self, place: packets.FlowPlace) -> bool:
        """Return whether a place still says what is known of its flow."""
        if place.acknowledged != packets.NOT_OPEN:
            return True
        entry = self._find(place.key, place.sequence)
        return entry is not None and entry.place is None

    def receive(
        self, places: typing.Iterable[packets.FlowPlace], now: float
    ) -> None:
        """Record what a peer announces; what was known before stays."""
        for place in places:
            if self._merge(place, now):
                self.on_news(place, now)

    def merge(
        self,
        known: typing.Iterable[packets.AgedPlace],
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what a peer had known for a while at ``sent_at``.

        An earlier flow from the same port does not replace a later one.
        """
        for aged in known:
            decided_at = sent_at - aged.age_s
            entry = self._entries.get(aged.place.key)
            if entry is not None and decided_at <= entry.noted_at:
                if entry.sequence != aged.place.sequence:
                    continue
            if self._merge(aged.place, decided_at):
                self.on_news(aged.place, now)

    def list_shared(self, now: float) -> tuple[packets.AgedPlace, ...]:
        """Return the places that peers may need, the latest ones first."""
        shared = [
            packets.AgedPlace(entry.place, max(0.0, now - entry.decided_at))
            for entry in self._entries.values()
            if entry.place is not None
            and now - entry.decided_at <= COMPARED_MAX_S
        ]
        shared.sort(key=lambda aged: aged.age_s)
        return tuple(shared)

    def compute_digest(self, now: float) -> int:
        """Return a digest of what peers should know too, never 0 or 1.

        It is a sum, so that it does not depend on the order of places.
        """
        total = sum(
            entry.digest
            for entry in self._entries.values()
            if entry.place is not None
            and COMPARED_MIN_S <= now - entry.decided_at <= COMPARED_MAX_S
        )
        return total % ((1 << _DIGEST_BITS) - 2) + 2

    def list_decided(self) -> tuple[packets.FlowPlace, ...]:
        """Return the places of open flows, those that have ended included."""
        return tuple(
            entry.place
            for entry in self._entries.values()
            if entry.place is not None
        )

    def expire(self, now: float) -> None:
        """Delete what is known of flows that have ended by now."""
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if now - entry.noted_at <= PLACE_LIFETIME_S:
                return
            del self._entries[key]

    def _find(self, key: packets.FlowKey, sequence: int) -> _Entry | None:
        entry = self._entries.get(key)
        if entry is None or entry.sequence != sequence:
            return None
        return entry

    def _merge(self, place: packets.FlowPlace, noted_at: float) -> bool:
        """Add a place; return whether it is news."""
        entry = self._entries.get(place.key)
        if entry is None or _is_replaced(entry, place):
            if not self._has_room(noted_at):
                return False
            entry = self._add(place, noted_at)
        if place.acknowledged == packets.NOT_OPEN:
            if place.tag in entry.tried:
                return False
            entry.tried |= {place.tag}
            return True
        if entry.place is not None:
            return False
        entry.place = place
        entry.decided_at = noted_at
        entry.digest = _compute_digest(place)
        return True

    def _has_room(self, noted_at: float) -> bool:
        """Return whether there is room for a flow, or one to forget for it.

        The flows that opened last matter most: upstreams still repeat the
        answers to their openings.
        """
        if len(self._entries) < PLACE_LIMIT:
            return True
        first = next(iter(self._entries.values()))
        return noted_at >= first.noted_at

    def _add(self, place: packets.FlowPlace, noted_at: float) -> _Entry:
        self._entries.pop(place.key, None)
        if len(self._entries) >= PLACE_LIMIT:
            del self._entries[next(iter(self._entries))]
        entry = _Entry(place.sequence, noted_at)
        self._entries[place.key] = entry
        return entry

    def _send(self, places: tuple[packets.FlowPlace, ...], now: float) -> None:
        self._counters[_Count.PLACES_ANNOUNCED] += len(places)
        self._credit_bytes -= self._announce(places, now)


def _compute_digest(place: packets.FlowPlace) -> int:
    """Return a digest of where a flow is.

    VMs that decided it alike may have seen different packets of the flow.
    """
    text = f'{packets.format_flow(place.key)}@{place.tag}'
    return digests.compute_digest(text.encode())


def _is_replaced(entry: _Entry, place: packets.FlowPlace) -> bool:
    """Return whether a place is of another flow from the same port.

    A VM that did not see the first packet of a flow knows another sequence
    number than that of its opening.
    """
    if entry.sequence == place.sequence:
        return False
    if entry.place is None or place.acknowledged == packets.NOT_OPEN:
        return True
    return not packets.is_same_flow(
        place.acknowledged, entry.place.acknowledged
    )
