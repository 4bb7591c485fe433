"""What this VM knows of flows that other owners opened.

Three things can be known about a bucket's former owner: a *handover* (it
told everything, with a filter of the flows that stand where the table puts
them), *copies* with the view they belong to (it died; what it told before
stands), or nothing. See docs/design/recovery.md.
"""

import typing

import attrs
import rbloom
import xxhash

from _savoryhaven import errors
from _savoryhaven.tracking import placement

# A new flow that is a false positive opens where the former owner would have
# put it, even if that upstream is leaving by now. Takes 2.4 B a flow.
FILTER_ERROR_RATE = 0.0001
FILTER_MIN_ITEMS = 64
DIGEST_BYTES = 8
FILTERS_KEPT = 32
# How long packets wait for a handover before its sender is taken for dead.
HANDOVER_TIMEOUT_S = 1.0
ASK_AGAIN_S = 0.1
_HASH_OFFSET = 2**127


def _hash_key(key: bytes) -> int:
    """Hash for rbloom, which takes signed 128-bit numbers."""
    return xxhash.xxh3_128_intdigest(key) - _HASH_OFFSET


def _load_filter(data: bytes) -> rbloom.Bloom:
    """Load a filter; raises ``PeerError`` ``SH402`` for a damaged one.

    The library does not check what it loads and panics on some of it.
    """
    saved, digest = data[:-DIGEST_BYTES], data[-DIGEST_BYTES:]
    if xxhash.xxh3_64_digest(saved) != digest:
        raise errors.PeerError(
            errors.Problem(code='SH402', message='a filter is damaged')
        )
    return rbloom.Bloom.load_bytes(saved, _hash_key)


def build_filter(keys: typing.Collection[bytes]) -> bytes:
    """Return the serialized Bloom filter of some flow keys."""
    size = max(FILTER_MIN_ITEMS, len(keys))
    built = rbloom.Bloom(size, FILTER_ERROR_RATE, _hash_key)
    for key in keys:
        built.add(key)
    saved = built.save_bytes()
    return saved + xxhash.xxh3_64_digest(saved)


@attrs.frozen
class FormerPlacement:
    """The view by which a former owner placed a flow, if it did.

    ``told`` says that it told so; otherwise it crashed, and the flow may as
    well be new.
    """

    view: placement.View
    told: bool


@attrs.frozen
class HandoverFilter:
    """Flows that a former owner left where its view derives them.

    Without data it stands for every flow: the former owner crashed.
    """

    data: bytes
    view: placement.View
    until: float
    bloom: rbloom.Bloom | None = attrs.field(eq=False, repr=False)

    def may_hold(self, key: bytes) -> bool:
        """Return whether a flow may be one of those."""
        return self.bloom is None or key in self.bloom


@attrs.frozen
class Ticket:
    """One claim: its number, and the services, none standing for all."""

    number: int
    services: tuple[str, ...]


@attrs.define
class _Peer:
    """What a peer told, and what is asked of it."""

    confirmed: int = 0
    required: int = 0
    # The services that have to be asked for; None stands for all.
    services: set[str] | None = attrs.field(factory=set)
    asked_at: float | None = None
    ask_again_at: float = 0.0
    # It has an older document, by which it may still decide itself.
    behind: bool = False
    # Since then flows may turn up that it never told of.
    silent_since: float | None = None
    copies_view: placement.View | None = None
    handed_over: bool = False


class FormerOwners:
    """Handovers, copies and filters by the peer that they came from."""

    def __init__(self, longest_s: float) -> None:
        # After so long any flow counts as ended.
        self.longest_s: typing.Final = longest_s
        self._peers: dict[str, _Peer] = {}
        self._filters: list[HandoverFilter] = []

    def require(self, vm_id: str, service: str | None = None) -> None:
        """Note that a peer may have owned buckets that are ours now.

        Those of one service, or of all if none is named.
        """
        peer = self._get(vm_id)
        peer.required += 1
        peer.asked_at = None
        if service is None:
            peer.services = None
        elif peer.services is not None:
            peer.services.add(service)

    def has_unsettled(self) -> bool:
        """Return whether any peer still owes a handover."""
        return any(p.confirmed < p.required for p in self._peers.values())

    def is_settled(self, vm_id: str, service: str) -> bool:
        """Return whether a peer has told us all about a service."""
        if self.is_confirmed(vm_id):
            return True
        peer = self._get(vm_id)
        return peer.services is not None and service not in peer.services

    def is_confirmed(self, vm_id: str) -> bool:
        """Return whether a peer has told us everything."""
        peer = self._peers.get(vm_id)
        return peer is None or peer.confirmed >= peer.required

    def start_claim(self, vm_id: str, now: float) -> Ticket | None:
        """Return what to claim, None if a claim is under way."""
        peer = self._get(vm_id)
        if peer.asked_at is not None or now < peer.ask_again_at:
            return None
        peer.asked_at = now
        services = () if peer.services is None else sorted(peer.services)
        return Ticket(peer.required, tuple(services))

    def settle(self, vm_id: str, ticket: Ticket) -> None:
        """Note that the answer to a claim was taken in."""
        peer = self._get(vm_id)
        peer.confirmed = max(peer.confirmed, ticket.number)
        peer.asked_at = None
        peer.behind = False
        peer.silent_since = None
        if peer.confirmed >= peer.required:
            peer.services = set()

    def decline(self, vm_id: str, now: float, *, behind: bool) -> None:
        """Note that a peer can't answer yet, to ask it again soon."""
        peer = self._get(vm_id)
        peer.asked_at = None
        peer.ask_again_at = now + ASK_AGAIN_S
        peer.behind = behind

    def is_behind(self, vm_id: str) -> bool:
        """Return whether a peer still decides by an older document."""
        peer = self._peers.get(vm_id)
        return peer is not None and peer.behind

    def is_asked(self, vm_id: str) -> bool:
        """Return whether a claim to a peer still waits for its answer."""
        peer = self._peers.get(vm_id)
        return peer is not None and peer.asked_at is not None

    def give_up(self, vm_id: str, now: float) -> None:
        """Go on without a peer that does not answer.

        From now on its flows may turn up, without our knowing of them.
        """
        peer = self._get(vm_id)
        peer.confirmed = peer.required
        peer.asked_at = None
        peer.services = set()
        peer.silent_since = now

    def list_silent(self, now: float, window_s: float) -> list[str]:
        """Return the peers that told us nothing, within a time."""
        return [
            vm_id
            for vm_id, peer in self._peers.items()
            if peer.silent_since is not None
            and now - peer.silent_since < window_s
        ]

    def note_departure(self, vm_id: str) -> None:
        """Note that a leaving peer has told everything before it went."""
        self._get(vm_id).handed_over = True

    def has_departed_well(self, vm_id: str) -> bool:
        """Return whether a former member told everything before it went."""
        peer = self._peers.get(vm_id)
        return peer is not None and peer.handed_over

    def note_arrival(self, vm_id: str) -> None:
        """Note that a peer is there, with nothing told so far."""
        self._peers[vm_id] = _Peer()

    def list_overdue(self, now: float) -> list[str]:
        """Return the peers whose claims were not answered in time."""
        return [
            vm_id
            for vm_id, peer in self._peers.items()
            if peer.asked_at is not None
            and peer.confirmed < peer.required
            and now - peer.asked_at > HANDOVER_TIMEOUT_S
        ]

    def add_filter(
        self, data: bytes, view: placement.View, until: float
    ) -> None:
        """Keep a filter; at the bound the one that ends first is dropped.

        The same filter comes from many peers, as each passes on what it
        inherited itself.
        """
        for at, held in enumerate(self._filters):
            if held.data == data and held.view == view:
                longest = max(until, held.until)
                self._filters[at] = attrs.evolve(held, until=longest)
                return
        bloom = _load_filter(data) if data else None
        self._filters.append(HandoverFilter(data, view, until, bloom))
        if len(self._filters) > FILTERS_KEPT:
            self._filters.sort(key=lambda held: held.until)
            del self._filters[0]

    def list_filters(self, now: float) -> list[HandoverFilter]:
        """Return the filters that still matter, to be handed on."""
        self._filters = [held for held in self._filters if held.until > now]
        return list(self._filters)

    def find_former_placement(
        self, key: bytes, window_s: float, now: float
    ) -> FormerPlacement | None:
        """Return the view under which a flow was derived, if it was.

        A crash counts for ``window_s`` only, what was told until it ends.
        """
        for held in self._filters:
            if held.until <= now or not held.may_hold(key):
                continue
            age_s = self.longest_s - (held.until - now)
            if held.bloom is not None or age_s < window_s:
                return FormerPlacement(held.view, told=held.bloom is not None)
        return None

    def note_copies(self, vm_id: str, view: placement.View) -> None:
        """Note that a peer's copies are complete for a view."""
        self._get(vm_id).copies_view = view

    def get_copies_view(self, vm_id: str) -> placement.View | None:
        """Return the view that a peer's copies are complete for."""
        peer = self._peers.get(vm_id)
        return peer.copies_view if peer else None

    def keep_peers(self, known: typing.Container[str]) -> None:
        """Forget peers that are no members any more."""
        for vm_id in [v for v in self._peers if v not in known]:
            del self._peers[vm_id]

    def reset(self) -> None:
        """Forget everything, as this VM was taken for dead."""
        self._peers.clear()
        self._filters.clear()

    def _get(self, vm_id: str) -> _Peer:
        return self._peers.setdefault(vm_id, _Peer())
