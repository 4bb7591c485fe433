"""The other VMs of the fleet, by their heartbeats."""

import math
import typing
import zlib

import attrs

from _savoryhaven.knowledge import messages

HEARTBEAT_INTERVAL_S = 0.25
# Peers that get one heartbeat at a time: with about 140 bytes each this
# stays under 4 KB/s for a VM.
FANOUT = 5
# A peer that should have been heard of so many times is taken as gone.
MISSED_HEARTBEATS = 6
# Members that are told with each heartbeat.
TOLD_MEMBERS = 3
# Members that a VM is told when it joins; a datagram holds about 30.
ANSWERED_MEMBERS = 24
# A VM that was gone for so long, in seconds, is not tried any more.
FORGET_S = 60.0


@attrs.define(eq=False, repr=False)
class Member:
    """A VM, and its last heartbeat."""

    address: messages.MemberAddress
    heartbeat: messages.Heartbeat | None = None
    heard_at: float = -math.inf
    known_at: float = 0.0


class Members:
    """All other VMs that this one knows of."""

    def __init__(self, vm_id: str, host: str) -> None:
        self.vm_id: typing.Final = vm_id
        self._host: typing.Final = host
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def learn(self, address: messages.MemberAddress, now: float) -> None:
        """Note a VM that a peer told of."""
        if address.vm_id == self.vm_id or address.host == self._host:
            return
        known = self._members.get(address.vm_id)
        if known is None:
            self._members[address.vm_id] = Member(address, known_at=now)
        elif address.incarnation > known.address.incarnation:
            known.address = address

    def note_heartbeat(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> bool:
        """Note a heartbeat; return whether its sender was not live before."""
        address = messages.MemberAddress(
            heartbeat.vm_id, host, heartbeat.incarnation
        )
        self.learn(address, now)
        member = self._members.get(heartbeat.vm_id)
        if member is None:
            return False
        was_live = self._is_live(member, now)
        member.heartbeat = heartbeat
        member.heard_at = now
        return not was_live

    def list_live(self, now: float) -> list[Member]:
        """Return the VMs that were heard of lately."""
        return [m for m in self._members.values() if self._is_live(m, now)]

    def list_hosts(self, now: float) -> list[str]:
        """Return the addresses of all VMs that may be there."""
        return [
            member.address.host
            for member in self._members.values()
            if now - max(member.heard_at, member.known_at) < FORGET_S
        ]

    def list_addresses(self) -> list[messages.MemberAddress]:
        """Return all members by address."""
        return [member.address for member in self._members.values()]

    def forget_gone(self, now: float) -> list[str]:
        """Forget VMs that were gone for long; return their names."""
        gone = [
            vm_id
            for vm_id, member in self._members.items()
            if now - max(member.heard_at, member.known_at) >= FORGET_S
        ]
        for vm_id in gone:
            del self._members[vm_id]
        return gone

    def compute_rank(self, now: float) -> int:
        """Return this VM's place among the live ones, from zero.

        The order is by a hash of the names, the same on all VMs.
        """
        mine = _hash_name(self.vm_id)
        return sum(
            _hash_name(member.address.vm_id) < mine
            for member in self.list_live(now)
        )

    def compute_patience(self) -> float:
        """Return for how many seconds a live VM may be silent."""
        rounds = math.ceil(max(1, len(self._members)) / FANOUT)
        return MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S * rounds

    def _is_live(self, member: Member, now: float) -> bool:
        return now - member.heard_at <= self.compute_patience()


def _hash_name(vm_id: str) -> tuple[int, str]:
    return zlib.crc32(vm_id.encode()), vm_id
