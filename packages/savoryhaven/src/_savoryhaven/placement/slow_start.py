"""Limits the openings that an upstream gets while it is cold.

VMs don't communicate within a second, so the bound on what all of them
together open is divided in advance. VMs are ranked for each upstream by
rendezvous hashing. Only the first one, the designated VM, opens flows to an
upstream that is cold; the next ones do so only if all upstreams are cold.
``docs/design/slow-start.md`` derives the shares.
"""

import collections
import math
import random
import typing
import zlib

import attrs

from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.placement import selection
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

if typing.TYPE_CHECKING:
    from _savoryhaven.knowledge import members as members_module

# The bound holds for any second at the upstream. Packets that are sent within
# 1.2 s may arrive within one, as they are delayed unequally on the way.
WINDOW_S = 1.2
# Two VMs whose views of the fleet differ by one VM may both be designated.
# Each may use a third of the bound; the last third is the reserve.
BOUND_PARTS = 3
# The part of its fair share of openings that an upstream may get right after
# it was cold.
RAMP_START_SHARE = 0.1
# A ramp of 2 s from 10 % would more than double from the first half second to
# the second one. Short ramps start higher, so that it grows by this factor;
# the margin below 2 is for the randomness of the draws.
RAMP_STEP_S = 0.5
RAMP_GROWTH = 1.8
# An upstream reports that it is cold with its next heartbeat, after up to
# 1.2 s, and the list of upstreams lags by up to 0.8 s.
ENTRY_DELAY_S = 2.0
# How long a list of the live VMs is used: members change within seconds.
VIEW_LIFETIME_S = 0.3
# A VM that was paused for a third of the time after which members without
# heartbeat are not live, or for longer than this, has an outdated list: it
# would take its own pause for the failure of others. The list is checked
# twice a second.
PAUSE_MIN_S = 1.0
PAUSE_PARTS = 3

_HASH_FACTOR = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << 64) - 1
_Count = counters_module.Count


class FleetView:
    """The ids of the VMs that a VM believes to be live, itself included."""

    def __init__(
        self, members: 'members_module.Members', started_at: float
    ) -> None:
        self._members: typing.Final = members
        self._started_at = started_at
        self._vm_ids: frozenset[str] = frozenset()
        self._listed_at = started_at

    def list_live_ids(self, now: float) -> frozenset[str]:
        """Return the ids; none as long as the VM does not know its fleet.

        A VM that has just started knows few others, and would be designated
        for too many upstreams. It knows its fleet after the time in which
        each member sends it a heartbeat. A pause counts as a start. The same
        object is returned until the ids change.
        """
        since_s = now - self._listed_at
        if since_s < VIEW_LIFETIME_S:
            return self._vm_ids
        self._listed_at = now
        found = self._find_live_ids(since_s, now)
        if found != self._vm_ids:
            self._vm_ids = found
        return self._vm_ids

    def _find_live_ids(self, since_s: float, now: float) -> frozenset[str]:
        members = self._members
        timeout_s = members.compute_liveness_timeout()
        if since_s > max(PAUSE_MIN_S, timeout_s / PAUSE_PARTS):
            self._started_at = now
        if now - self._started_at < timeout_s:
            return frozenset()
        live = (member.address.vm_id for member in members.list_live(now))
        return frozenset((members.vm_id, *live))


@attrs.frozen(eq=False, repr=False)
class Shares:
    """How many openings VMs may send to a cold upstream within a window.

    ``designated`` is the limit of the designated VM, ``reserve`` the number
    of openings for all others together.
    """

    designated: int
    reserve: int

    def get_limit(self, rank: int, vms: int) -> int:
        """Return the limit of the VM with a rank among ``vms`` VMs.

        If there is less than one opening of the reserve for each VM, only
        the first ranks get one: fractions of an opening that many VMs save
        up could be used by all of them in one moment.
        """
        if rank == 0:
            return self.designated
        if self.reserve >= vms:
            return self.reserve // vms
        return 1 if rank <= self.reserve else 0


def divide_bound(bound: float) -> Shares:
    """Return the shares of a bound on the openings in a second.

    Two designated VMs and the reserve together stay within the bound, except
    for a bound of 1: one opening is allowed, and two designated VMs send two.
    """
    whole = math.floor(bound)
    designated = max(whole // BOUND_PARTS, min(1, whole))
    return Shares(designated, max(0, whole - 2 * designated))


def compute_ramp_share(since_s: float, ramp_s: float) -> float:
    """Return the part of its fair share for an upstream that was cold.

    It rises linearly within ``ramp_s`` to 1, and grows at most by the factor
    ``g``, ``RAMP_GROWTH``, from one half second to the next. From a start
    ``s``, with ``h`` being the part of the ramp that half a second is, that
    needs ``s (g - 1) >= (1 - s) h (3 - g) / 2``.
    """
    if since_s >= ramp_s:
        return 1.0
    part = min(1.0, RAMP_STEP_S / ramp_s)
    part *= (3.0 - RAMP_GROWTH) / 2.0 / (RAMP_GROWTH - 1.0)
    start = max(RAMP_START_SHARE, part / (1.0 + part))
    return start + (1.0 - start) * since_s / ramp_s


@attrs.frozen(kw_only=True, eq=False, repr=False)
class ColdUpstream:
    """A cold upstream, and how much of its limit this VM has used.

    ``remaining_s`` is the rest of its cold time in seconds, ``openings`` the
    openings of this VM within ``WINDOW_S``, ``designated`` whether this VM
    was the designated one at its last opening for the service.
    """

    upstream_id: str
    remaining_s: float
    openings: int
    designated: bool


@attrs.define(eq=False, repr=False)
class _Slowed:
    """An upstream that is or was cold.

    ``until`` is the end of its cold time, ``marked_until`` the end that
    ``mark_cold`` requested. ``openings`` are the times of this VM's openings
    of the last window. ``rank`` is this VM's rank in ``view``, one beyond
    ``ranks`` stands for all that follow.
    """

    state: upstreams.UpstreamState
    until: float = -math.inf
    marked_until: float = -math.inf
    cold: bool = False
    openings: collections.deque[float] = attrs.field(factory=collections.deque)
    view: frozenset[str] | None = None
    rank: int = 0
    ranks: int = 0

    def count_openings(self, now: float) -> int:
        """Return the number of openings within the window."""
        openings = self.openings
        while openings and now - openings[0] >= WINDOW_S:
            openings.popleft()
        return len(openings)


class Limits(typing.Protocol):
    """The openings in a second that a cold upstream gets from all VMs.

    They are ``overshoot`` times the rate that its service bears while it is
    cold, and ``slack`` more.
    """

    @property
    def overshoot(self) -> float:
        """Return the factor of the rate."""

    @property
    def slack(self) -> float:
        """Return the further openings."""


class SlowStart:
    """Decides which cold upstreams a VM may open flows to."""

    def __init__(
        self,
        vm_id: str,
        limits: Limits,
        *,
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
    ) -> None:
        self._vm_id: typing.Final = vm_id
        self._limits: typing.Final = limits
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self._slowed: dict[str, _Slowed] = {}
        self._by_service: dict[str, dict[str, _Slowed]] = {}
        self._view: frozenset[str] = frozenset()
        self._hashes: list[tuple[int, str]] = []
        # Slots by service, and when they were counted.
        self._slots: dict[str, tuple[float, int]] = {}

    def filter(
        self,
        states: list[upstreams.UpstreamState],
        now: float,
        services: typing.Mapping[str, records.Service],
        live_vm_ids: frozenset[str],
        *,
        tried: frozenset[int] = frozenset(),
    ) -> list[upstreams.UpstreamState]:
        """Return the upstreams of a service that may get an opening now.

        ``tried`` are the tags of upstreams that got earlier copies of the
        opening. They remain in the list, as a copy to the same upstream is
        not another opening. Without ``live_vm_ids`` cold upstreams get none.
        """
        if not states:
            return states
        self._note_entries(states, now)
        name = states[0].upstream.service
        slowed = self._by_service.get(name)
        if not slowed:
            return states
        service = services.get(name) or records.Service(name)
        items = [
            item
            for item in slowed.values()
            if not tried or item.state.upstream.tag not in tried
        ]
        cold = self._list_cold(items, now)
        left_out = []
        if len(cold) < len(items):
            slots = self._count_slots(name, states, now)
            left_out = self._draw_left_out(items, service, slots, now)
        excluded = {item.state for item in cold}
        excluded.update(left_out)
        selected = [state for state in states if state not in excluded]
        if left_out and not _has_healthy(selected, tried, now):
            # The draw must leave a candidate.
            selected += left_out
        if cold:
            reserve = not _has_healthy(selected, tried, now)
            shares = self._divide_bound(service)
            selected += self._list_open(
                cold, shares, live_vm_ids, now, reserve=reserve
            )
        return selected

    def _list_cold(self, items: list[_Slowed], now: float) -> list[_Slowed]:
        cold = []
        for item in items:
            until = item.state.warm_up_ends_at
            # Nearly all items are as they were; a call for each is slow.
            if item.cold or until > now:
                if not item.until == until > now:
                    self._refresh(item, now)
                if item.cold:
                    cold.append(item)
        return cold

    def _draw_left_out(
        self,
        items: list[_Slowed],
        service: records.Service,
        slots: int,
        now: float,
    ) -> list[upstreams.UpstreamState]:
        """Return the upstreams in their ramp that this opening leaves out.

        An idle upstream gets nearly every opening that it is a candidate
        for. So it is a candidate for no more than the ramp's part of its fair
        share, which is that of its slots.
        """
        draw = self._random.random
        left_out = []
        for item in items:
            if item.cold:
                continue
            ramp = compute_ramp_share(now - item.until, service.cold_start_s)
            if ramp < 1.0:
                state = item.state
                if draw() * slots >= ramp * state.upstream.slots:
                    left_out.append(state)
        return left_out

    def _count_slots(
        self, service: str, states: list[upstreams.UpstreamState], now: float
    ) -> int:
        """Return the slots of a service, which are counted now and then."""
        counted_at, slots = self._slots.get(service, (-math.inf, 0))
        if now - counted_at >= VIEW_LIFETIME_S:
            slots = sum(
                state.upstream.slots
                for state in states
                if selection.takes_new_flows(state)
            )
            self._slots[service] = (now, slots)
        return slots

    def _list_open(
        self,
        cold: list[_Slowed],
        shares: Shares,
        live_vm_ids: frozenset[str],
        now: float,
        *,
        reserve: bool,
    ) -> list[upstreams.UpstreamState]:
        """Return the cold upstreams that may get an opening of this VM.

        ``reserve`` is whether the reserve may be used. An opening for which
        a cold upstream is left out is counted.
        """
        found = []
        withheld = False
        vms = len(live_vm_ids)
        for item in cold:
            if item.view is not live_vm_ids or item.ranks != shares.reserve:
                self._update_rank(item, live_vm_ids, shares.reserve)
            limit = 0
            if vms and (reserve or not item.rank):
                limit = shares.get_limit(item.rank, vms)
            if withheld and not limit:
                continue
            if selection.takes_new_flows(item.state):
                if item.count_openings(now) < limit:
                    found.append(item.state)
                else:
                    withheld = True
        if withheld:
            self._counters[_Count.COLD_WITHHELD] += 1
        return found

    def _divide_bound(self, service: records.Service) -> Shares:
        limits = self._limits
        return divide_bound(
            service.cold_per_s * limits.overshoot + limits.slack
        )

    def _update_rank(
        self, item: _Slowed, live_vm_ids: frozenset[str], ranks: int
    ) -> None:
        item.view = live_vm_ids
        item.ranks = ranks
        item.rank = self._compute_rank(
            item.state.upstream.upstream_id, live_vm_ids, ranks
        )

    def _compute_rank(
        self, upstream_id: str, live_vm_ids: frozenset[str], highest: int
    ) -> int:
        """Return this VM's rank for an upstream, 0 if it is designated.

        Ranks beyond ``highest`` count alike, so the search ends there.
        """
        if live_vm_ids is not self._view:
            self._view = live_vm_ids
            self._hashes = [
                (zlib.crc32(vm_id.encode()), vm_id)
                for vm_id in live_vm_ids
                if vm_id != self._vm_id
            ]
        seed = zlib.crc32(upstream_id.encode())
        own = (_mix(zlib.crc32(self._vm_id.encode()), seed), self._vm_id)
        rank = 0
        for vm_hash, vm_id in self._hashes:
            if (_mix(vm_hash, seed), vm_id) > own:
                rank += 1
                if rank > highest:
                    break
        return rank

    def note_opening(self, state: upstreams.UpstreamState, now: float) -> None:
        """Record that an opening is sent to an upstream it was not sent to.

        Copies to the same upstream are not recorded.
        """
        item = self._slowed.get(state.upstream.upstream_id)
        if item is not None and item.cold:
            item.count_openings(now)
            item.openings.append(now)

    def is_cold(self, state: upstreams.UpstreamState, now: float) -> bool:
        """Return whether an upstream is cold."""
        if state.warm_up_ends_at > now:
            return True
        item = self._slowed.get(state.upstream.upstream_id)
        if item is None:
            return False
        self._refresh(item, now)
        return item.cold

    def list_cold(self, now: float) -> list[ColdUpstream]:
        """Return the upstreams that are cold, for operators."""
        return [
            ColdUpstream(
                upstream_id=upstream_id,
                remaining_s=item.until - now,
                openings=item.count_openings(now),
                designated=item.view is not None and item.rank == 0,
            )
            for upstream_id, item in sorted(self._slowed.items())
            if item.cold and item.until > now
        ]

    def count_kept(self) -> int:
        """Return the number of upstreams of which something is kept."""
        return len(self._slowed)

    def mark_cold(self, state: upstreams.UpstreamState, until: float) -> None:
        """Treat an upstream as cold, whatever its entry says.

        An upstream whose failure domain is restored may be cold before its
        entry says so.
        """
        item = self._put(state)
        item.marked_until = max(item.marked_until, until)
        self._start_cold(
            item, max(item.until, until), 'its failure domain was restored'
        )

    def update(
        self,
        states: typing.Iterable[upstreams.UpstreamState],
        now: float,
        services: typing.Mapping[str, records.Service],
    ) -> None:
        """Follow the entries of all upstreams, and forget what is over.

        Upstreams that get no openings while they are cold are noticed here,
        so that their ramp is in force.
        """
        states = list(states)
        self._note_entries(states, now)
        if not self._slowed:
            return
        known = {state.upstream.upstream_id: state for state in states}
        for upstream_id, item in list(self._slowed.items()):
            state = known.get(upstream_id)
            if state is not None and state is not item.state:
                item = self._put(state)
            self._refresh(item, now)
            if not item.count_openings(now) and (
                _is_over(item, now, services) or _has_left(state)
            ):
                self._forget(item)

    def _note_entries(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> None:
        """Note the upstreams that are cold by their entries."""
        for state in [s for s in states if s.warm_up_ends_at > now]:
            item = self._slowed.get(state.upstream.upstream_id)
            if item is None or item.state is not state or not item.cold:
                self._refresh(self._put(state), now)

    def _put(self, state: upstreams.UpstreamState) -> _Slowed:
        """Return what is kept of an upstream; add it if it is new.

        An id that now stands for another upstream keeps its openings.
        """
        upstream = state.upstream
        item = self._slowed.get(upstream.upstream_id)
        if item is None:
            item = _Slowed(state)
            self._slowed[upstream.upstream_id] = item
        elif item.state is state:
            return item
        else:
            self._remove_from_service(item)
            item.state = state
        services = self._by_service
        services.setdefault(upstream.service, {})[upstream.upstream_id] = item
        return item

    def _remove_from_service(self, item: _Slowed) -> None:
        upstream = item.state.upstream
        of_service = self._by_service[upstream.service]
        del of_service[upstream.upstream_id]
        if not of_service:
            del self._by_service[upstream.service]
            self._slots.pop(upstream.service, None)

    def _forget(self, item: _Slowed) -> None:
        if item.cold:
            self._end_cold(item, 'it has left')
        self._remove_from_service(item)
        del self._slowed[item.state.upstream.upstream_id]

    def _refresh(self, item: _Slowed, now: float) -> None:
        """Follow the upstream's entry, and the time.

        While it is warm, a later entry without a cold time changes nothing.
        """
        entry_until = item.state.warm_up_ends_at
        if entry_until > now:
            until = max(entry_until, item.marked_until)
            self._start_cold(item, until, 'its entry says so')
        elif item.cold:
            if item.until > now:
                item.until = max(entry_until, item.marked_until)
            if item.until <= now:
                self._end_cold(item, 'its cold time is over')

    def _start_cold(self, item: _Slowed, until: float, why: str) -> None:
        item.until = until
        if not item.cold:
            item.cold = True
            self._emit('upstream_cold', item, why)

    def _end_cold(self, item: _Slowed, why: str) -> None:
        item.cold = False
        self._emit('upstream_warm', item, why)

    def _emit(self, name: str, item: _Slowed, why: str) -> None:
        self._events.emit(
            name,
            upstream=item.state.upstream.upstream_id,
            why=why,
            until=round(item.until, 3),
        )


def _mix(vm_hash: int, seed: int) -> int:
    """Return the rendezvous hash of a VM and an upstream."""
    mixed = (vm_hash ^ seed) * _HASH_FACTOR & _HASH_MASK
    return (mixed ^ mixed >> 29) * _HASH_FACTOR >> 16 & _HASH_MASK


def _has_healthy(
    states: list[upstreams.UpstreamState], tried: frozenset[int], now: float
) -> bool:
    """Return whether the selection has an upstream that is no last resort."""
    return any(
        selection.takes_new_flows(state)
        and state.upstream.tag not in tried
        and not upstreams.is_suspect(state, now)
        for state in states
    )


def _is_over(
    item: _Slowed, now: float, services: typing.Mapping[str, records.Service]
) -> bool:
    """Return whether the cold time and the ramp of an upstream are over."""
    service = services.get(item.state.upstream.service)
    ramp_s = 0.0 if service is None else service.cold_start_s
    return not item.cold and now - item.until >= ramp_s


def _has_left(state: upstreams.UpstreamState | None) -> bool:
    """Return whether an upstream is not in the store any more."""
    return state is None or (state.removed_at != math.inf and not state.lapsed)
