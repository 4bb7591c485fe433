"""The other VMs of the fleet, by their heartbeats."""

import bisect
import math
import typing
import zlib

import attrs

from _savoryhaven.knowledge import messages

HEARTBEAT_INTERVAL_S = 0.25
# Peers that get each heartbeat. At about 140 bytes each, a VM sends less than
# 4 KB/s.
HEARTBEAT_FANOUT = 5
# A peer is no longer live after this many missed heartbeats.
MISSED_HEARTBEATS = 6
# Members in a heartbeat that carries members.
MAX_HEARTBEAT_MEMBERS = 3
# Members in the answer to a VM that joins; a datagram holds about 30.
MAX_ANSWER_MEMBERS = 24
# A VM that was silent for this long gets no more heartbeats.
MEMBER_LIFETIME_S = 60.0


# A VM that sent no heartbeat for this long has no rank. Reports of the lowest
# ranks have to reach all VMs sooner.
RANK_TIMEOUT_S = 2.0
# VMs of the lowest ranks that each heartbeat reports, at 9 to 13 bytes each.
MAX_HEARD_MEMBERS = 5
# The same for heartbeats without the classes of links.
MAX_BRIEF_HEARD_MEMBERS = 3
# Ranks go by the class of a VM's link first: a class is a factor of two, the
# fastest is 1, and ``LINK_CLASSES`` stands for an unknown rate.
LINK_CLASSES = 32
_HASH_BITS = 32
_HASH_MASK = (1 << _HASH_BITS) - 1


@attrs.define(eq=False, repr=False)
class Member:
    """A VM, and its last heartbeat.

    ``heard_at`` is the latest time at which it is known to have sent one,
    to this VM or to any other. ``order`` sorts VMs by rank, those with fast
    links first.
    """

    address: messages.MemberAddress
    order: tuple[int, str]
    heartbeat: messages.Heartbeat | None = None
    last_heartbeat_at: float = -math.inf
    heard_at: float = -math.inf
    learned_at: float = 0.0


class Members:
    """All other VMs that this one knows."""

    def __init__(
        self, vm_id: str, host: str, *, link_mbps: float = 0.0
    ) -> None:
        self.vm_id: typing.Final = vm_id
        self.link_mbps: typing.Final = link_mbps
        self._host: typing.Final = host
        self._order: typing.Final = _compute_order(vm_id, link_mbps)
        self._members: dict[str, Member] = {}
        # All members by rank, and by the hash that reports name them by.
        self._sorted: list[Member] = []
        self._by_hash: dict[int, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def learn(self, address: messages.MemberAddress, now: float) -> None:
        """Add a VM, or update its address if its incarnation is newer."""
        if address.vm_id == self.vm_id or address.host == self._host:
            return
        known = self._members.get(address.vm_id)
        if known is None:
            order = _compute_order(address.vm_id)
            member = Member(address, order, learned_at=now)
            self._members[address.vm_id] = member
            self._by_hash[order[0] & _HASH_MASK] = member
            bisect.insort(self._sorted, member, key=_get_order)
        elif address.incarnation > known.address.incarnation:
            known.address = address

    def note_heartbeat(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> bool:
        """Record a heartbeat; return whether its sender has become live.

        One that starts again so soon that it is not missed has, too.
        """
        address = messages.MemberAddress(
            heartbeat.vm_id, host, heartbeat.incarnation
        )
        known = self._members.get(heartbeat.vm_id)
        restarted = known is not None and (
            heartbeat.incarnation > known.address.incarnation
        )
        self.learn(address, now)
        member = self._members.get(heartbeat.vm_id)
        if member is None:
            return False
        if heartbeat.link_mbps > 0:
            self._sort_in(
                member, _compute_order(heartbeat.vm_id, heartbeat.link_mbps)
            )
        was_live = self._is_live(member, now)
        member.heartbeat = heartbeat
        member.last_heartbeat_at = now
        member.heard_at = now
        return restarted or not was_live

    def note_heard(
        self, reports: typing.Iterable[messages.HeardMember], now: float
    ) -> None:
        """Record when other VMs sent heartbeats to the reporter."""
        for report in reports:
            member = self._by_hash.get(report.vm_hash & _HASH_MASK)
            if member is not None:
                # Most reports have no class.
                if report.vm_hash > _HASH_MASK:
                    order = (report.vm_hash, member.address.vm_id)
                    self._sort_in(member, order)
                heard_at = now - max(0, report.age_ms) / 1000
                member.heard_at = max(member.heard_at, heard_at)

    def _sort_in(self, member: Member, order: tuple[int, str]) -> None:
        """Move a VM to its place if the class of its link was unknown."""
        if member.order == order:
            return
        self._sorted.remove(member)
        member.order = order
        bisect.insort(self._sorted, member, key=_get_order)

    def list_heard(
        self, now: float, *, classes: bool = True
    ) -> tuple[messages.HeardMember, ...]:
        """Return the VMs with the lowest ranks, and when they were heard.

        Without ``classes`` a report is four bytes shorter, and its receiver
        keeps the class that it knows.
        """
        mask = -1 if classes else _HASH_MASK
        most = MAX_HEARD_MEMBERS if classes else MAX_BRIEF_HEARD_MEMBERS
        reports = []
        for member in self._sorted:
            age_s = now - member.heard_at
            if age_s <= RANK_TIMEOUT_S:
                reports.append(
                    messages.HeardMember(
                        member.order[0] & mask, max(0, round(age_s * 1000))
                    )
                )
                if len(reports) == most:
                    break
        return tuple(reports)

    def list_live(self, now: float) -> list[Member]:
        """Return the VMs whose last heartbeat is recent."""
        return [m for m in self._members.values() if self._is_live(m, now)]

    def count_ready(self, failure_domain: str, now: float) -> tuple[int, int]:
        """Return how many other VMs a failure domain has, and are ready."""
        others = [
            member
            for member in self._members.values()
            if member.heartbeat is not None
            and member.heartbeat.failure_domain == failure_domain
        ]
        ready = sum(
            member.heartbeat.ready and self._is_live(member, now)
            for member in others
        )
        return len(others), ready

    def list_hosts(self, now: float) -> list[str]:
        """Return the hosts of all VMs that still get heartbeats."""
        return [
            member.address.host
            for member in self._members.values()
            if now - max(member.last_heartbeat_at, member.learned_at)
            < MEMBER_LIFETIME_S
        ]

    def list_addresses(self) -> list[messages.MemberAddress]:
        """Return the addresses of all members."""
        return [member.address for member in self._members.values()]

    def expire_members(self, now: float) -> list[str]:
        """Remove VMs silent for ``MEMBER_LIFETIME_S``; return their ids."""
        gone = [
            vm_id
            for vm_id, member in self._members.items()
            if now - max(member.last_heartbeat_at, member.learned_at)
            >= MEMBER_LIFETIME_S
        ]
        for vm_id in gone:
            member = self._members.pop(vm_id)
            self._sorted.remove(member)
            vm_hash = member.order[0] & _HASH_MASK
            if self._by_hash.get(vm_hash) is member:
                del self._by_hash[vm_hash]
        return gone

    def compute_rank(self, now: float) -> int:
        """Return this VM's rank among those heard lately, from zero.

        The order is by the class of links, then by a hash of the ids, the
        same on all VMs. In a large
        fleet a VM hears the lowest ranks from all others, but only a part of
        the others, so its own rank may come out lower than it is.
        """
        rank = 0
        for member in self._sorted:
            if member.order >= self._order:
                break
            rank += now - member.heard_at <= RANK_TIMEOUT_S
        return rank

    def compute_liveness_timeout(self) -> float:
        """Return after how many seconds without heartbeat a VM is not live."""
        rounds = math.ceil(max(1, len(self._members)) / HEARTBEAT_FANOUT)
        return MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S * rounds

    def _is_live(self, member: Member, now: float) -> bool:
        return (
            now - member.last_heartbeat_at <= self.compute_liveness_timeout()
        )


def _compute_order(vm_id: str, link_mbps: float = 0.0) -> tuple[int, str]:
    """Return what sorts VMs by rank: the link's class and a hash, the id."""
    rate = min(max(0, int(link_mbps)), (1 << LINK_CLASSES - 1) - 1)
    link_class = LINK_CLASSES - rate.bit_length()
    return link_class << _HASH_BITS | zlib.crc32(vm_id.encode()), vm_id


def _get_order(member: Member) -> tuple[int, str]:
    return member.order
