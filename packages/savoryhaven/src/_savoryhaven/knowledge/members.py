"""The other VMs of the fleet, by their heartbeats."""

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


@attrs.define(eq=False, repr=False)
class Member:
    """A VM, and its last heartbeat."""

    address: messages.MemberAddress
    heartbeat: messages.Heartbeat | None = None
    last_heartbeat_at: float = -math.inf
    learned_at: float = 0.0


class Members:
    """All other VMs that this one knows."""

    def __init__(self, vm_id: str, host: str) -> None:
        self.vm_id: typing.Final = vm_id
        self._host: typing.Final = host
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def learn(self, address: messages.MemberAddress, now: float) -> None:
        """Add a VM, or update its address if its incarnation is newer."""
        if address.vm_id == self.vm_id or address.host == self._host:
            return
        known = self._members.get(address.vm_id)
        if known is None:
            self._members[address.vm_id] = Member(address, learned_at=now)
        elif address.incarnation > known.address.incarnation:
            known.address = address

    def note_heartbeat(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> bool:
        """Record a heartbeat; return whether its sender has become live."""
        address = messages.MemberAddress(
            heartbeat.vm_id, host, heartbeat.incarnation
        )
        self.learn(address, now)
        member = self._members.get(heartbeat.vm_id)
        if member is None:
            return False
        was_live = self._is_live(member, now)
        member.heartbeat = heartbeat
        member.last_heartbeat_at = now
        return not was_live

    def list_live(self, now: float) -> list[Member]:
        """Return the VMs whose last heartbeat is recent."""
        return [m for m in self._members.values() if self._is_live(m, now)]

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
            del self._members[vm_id]
        return gone

    def compute_rank(self, now: float) -> int:
        """Return this VM's rank among the live ones, from zero.

        The order is by a hash of the ids, the same on all VMs.
        """
        mine = _hash_vm_id(self.vm_id)
        return sum(
            _hash_vm_id(member.address.vm_id) < mine
            for member in self.list_live(now)
        )

    def compute_liveness_timeout(self) -> float:
        """Return after how many seconds without heartbeat a VM is not live."""
        rounds = math.ceil(max(1, len(self._members)) / HEARTBEAT_FANOUT)
        return MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S * rounds

    def _is_live(self, member: Member, now: float) -> bool:
        return (
            now - member.last_heartbeat_at <= self.compute_liveness_timeout()
        )


def _hash_vm_id(vm_id: str) -> tuple[int, str]:
    return zlib.crc32(vm_id.encode()), vm_id
