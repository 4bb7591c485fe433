"""Membership: the records of all VMs, and whether this VM is confirmed.

The failure detector is of the SWIM family (Das, Gupta and Motivala, 2002): a
VM that misses its probes is suspected first and can refute, and membership
records are gossiped on the probes. This module has the state and the rules;
``detector`` sends the messages.
"""

import math
import random
import typing

import attrs

from _savoryhaven.tracking import messages
from _savoryhaven.tracking import settings as settings_module

GOSSIP_RECORDS_PER_MESSAGE = 6
GOSSIP_REPEAT_FACTOR = 3
# Longer than the idle timeout of any flow, so that a successor can still find
# the former owner of a bucket.
DEAD_RETENTION_S = 3_700.0

_State = messages.MemberState
_ELIGIBLE: typing.Final = (_State.ALIVE, _State.SUSPECT)


@attrs.define
class Member:
    """The latest record of a VM that this VM has."""

    record: messages.MemberRecord
    changed_at: float
    knowledge: messages.Knowledge = messages.Knowledge(0, 0, True)

    @property
    def vm_id(self) -> str:
        """Return the name of the VM."""
        return self.record.vm_id

    @property
    def eligible(self) -> bool:
        """Return whether the VM may own buckets."""
        return self.record.state in _ELIGIBLE

    @property
    def reachable(self) -> bool:
        """Return whether packets may be relayed to the VM."""
        return self.record.state is not _State.DEAD


@attrs.frozen
class Joined:
    """A VM became eligible: it is new, or it refuted its death."""

    record: messages.MemberRecord
    returned: bool


@attrs.frozen
class Departed:
    """A VM is leaving or dead and owns no buckets any more."""

    record: messages.MemberRecord


@attrs.frozen
class DeclaredDead:
    """Peers declared this VM dead; its buckets may have other owners."""


@attrs.frozen
class Superseded:
    """A process with the same VM name was started after this one."""


Event = Joined | Departed | DeclaredDead | Superseded


@attrs.define
class _GossipEntry:
    record: messages.MemberRecord
    sent: int = 0


class Members:
    """All VMs that this VM knows, itself included."""

    def __init__(
        self,
        me: messages.MemberRecord,
        settings: settings_module.MembershipSettings,
        now: float,
    ) -> None:
        self.me = me
        self.settings: typing.Final = settings
        # Increases with each change of the eligible or reachable members.
        self.version = 1
        self._domain_versions: dict[str, int] = {}
        self._started_at = now
        self._members = {me.vm_id: Member(me, now)}
        self._gossip: dict[str, _GossipEntry] = {}
        self._listeners: list[typing.Callable[[Event, float], None]] = []

    def add_listener(
        self, listener: typing.Callable[[Event, float], None]
    ) -> None:
        """Register a function to be called on each event."""
        self._listeners.append(listener)

    def get(self, vm_id: str) -> Member | None:
        """Return a member, or None."""
        return self._members.get(vm_id)

    def list_members(self) -> list[Member]:
        """Return all members, this VM included."""
        return list(self._members.values())

    def get_domain_version(self, domain: str) -> int:
        """Return a number that changes with the members of a domain."""
        return self._domain_versions.get(domain, 0)

    def _increase_version(self, domain: str) -> None:
        self.version += 1
        self._domain_versions[domain] = self.version

    def list_peers(self) -> list[Member]:
        """Return all other members that are not dead."""
        return [
            member
            for member in self._members.values()
            if member.reachable and member.vm_id != self.me.vm_id
        ]

    def list_eligible(self, domain: str | None = None) -> list[Member]:
        """Return the members that may own buckets, of one domain or all."""
        return [
            member
            for member in self._members.values()
            if member.eligible
            and domain in (None, member.record.failure_domain)
        ]

    def list_domain_members(self, domain: str) -> list[Member]:
        """Return all members of a failure domain, the dead included."""
        return [
            member
            for member in self._members.values()
            if member.record.failure_domain == domain
        ]

    def get_unavailable_since(self, domain: str) -> float:
        """Return when a member of a failure domain last changed its state.

        For a domain without eligible VMs, this is the time since which it has
        had none. A domain without members counts from this VM's start.
        """
        changes = [m.changed_at for m in self.list_domain_members(domain)]
        return max(changes, default=self._started_at)

    def merge(self, record: messages.MemberRecord, now: float) -> None:
        """Merge a record of a VM, which may come from any VM."""
        if record.vm_id == self.me.vm_id:
            self._merge_own(record, now)
            return
        member = self._members.get(record.vm_id)
        if member is None:
            self._add(record, now)
        elif _rank_record(record) > _rank_record(member.record):
            self._replace(member, record, now)

    def note_knowledge(
        self, vm_id: str, knowledge: messages.Knowledge
    ) -> None:
        """Store the versions of a peer's document and VM list."""
        member = self._members.get(vm_id)
        if member is not None:
            member.knowledge = knowledge

    def suspect(self, vm_id: str, now: float) -> None:
        """Suspect a VM that missed its probes."""
        member = self._members.get(vm_id)
        if member is None:
            return
        match member.record.state:
            case _State.ALIVE:
                self.merge(
                    attrs.evolve(member.record, state=_State.SUSPECT), now
                )
            case _State.LEAVING:
                # It is stopping anyway. A suspected VM may own buckets, a
                # leaving one must not.
                self.merge(attrs.evolve(member.record, state=_State.DEAD), now)

    def expire(self, now: float) -> None:
        """Declare overdue suspects dead, and remove members long dead."""
        for member in self.list_members():
            age = now - member.changed_at
            match member.record.state:
                case _State.SUSPECT if age >= self.settings.suspicion_s:
                    self.merge(
                        attrs.evolve(member.record, state=_State.DEAD), now
                    )
                case _State.DEAD if age >= DEAD_RETENTION_S:
                    del self._members[member.vm_id]
                    self._increase_version(member.record.failure_domain)

    def mark_leaving(self, now: float) -> None:
        """Mark this VM as leaving."""
        self._replace_own(attrs.evolve(self.me, state=_State.LEAVING), now)

    def mark_dead(self, now: float) -> None:
        """Mark this VM as dead, before it stops."""
        self._replace_own(attrs.evolve(self.me, state=_State.DEAD), now)

    def rejoin(self, epoch: int, now: float) -> None:
        """Make this VM a new member, after it was declared dead."""
        incarnation = self.me.incarnation + 1
        self._replace_own(
            attrs.evolve(self.me, epoch=epoch, incarnation=incarnation), now
        )

    def take_gossip(self) -> tuple[messages.MemberRecord, ...]:
        """Return the records to gossip next, the least often sent first."""
        count = len(self._members)
        repeats = GOSSIP_REPEAT_FACTOR * max(
            1, math.ceil(math.log2(count + 1))
        )
        chosen = sorted(self._gossip.values(), key=lambda entry: entry.sent)
        chosen = chosen[:GOSSIP_RECORDS_PER_MESSAGE]
        for entry in chosen:
            entry.sent += 1
            if entry.sent >= repeats:
                self._gossip.pop(entry.record.vm_id, None)
        return tuple(entry.record for entry in chosen)

    def _merge_own(self, record: messages.MemberRecord, now: float) -> None:
        if _rank_record(record) <= _rank_record(self.me):
            return
        if record.epoch > self.me.epoch:
            self._publish(Superseded(), now)
            return
        refuted = attrs.evolve(self.me, incarnation=record.incarnation + 1)
        self._replace_own(refuted, now)
        if record.state is _State.DEAD:
            self._publish(DeclaredDead(), now)

    def _replace_own(self, record: messages.MemberRecord, now: float) -> None:
        member = self._members[record.vm_id]
        self.me = record
        member.record = record
        member.changed_at = now
        self._increase_version(record.failure_domain)
        self._gossip[record.vm_id] = _GossipEntry(record)

    def _add(self, record: messages.MemberRecord, now: float) -> None:
        member = Member(record, now)
        self._members[record.vm_id] = member
        self._gossip[record.vm_id] = _GossipEntry(record)
        self._increase_version(record.failure_domain)
        if member.eligible:
            self._publish(Joined(record, returned=False), now)

    def _replace(
        self, member: Member, record: messages.MemberRecord, now: float
    ) -> None:
        was_eligible = member.eligible
        restarted = record.epoch > member.record.epoch
        if restarted and was_eligible:
            self._publish(Departed(member.record), now)
        was_reachable = member.reachable
        if member.record.state is not record.state or restarted:
            member.changed_at = now
        member.record = record
        availability_changed = (member.eligible, member.reachable) != (
            was_eligible,
            was_reachable,
        )
        if availability_changed or restarted:
            self._increase_version(record.failure_domain)
        self._gossip[record.vm_id] = _GossipEntry(record)
        if member.eligible and (restarted or not was_eligible):
            self._publish(Joined(record, returned=not restarted), now)
        elif was_eligible and not member.eligible:
            self._publish(Departed(record), now)

    def _publish(self, event: Event, now: float) -> None:
        for listener in self._listeners:
            listener(event, now)


class LocalHealth:
    """Tracks whether this VM is still confirmed as a member by its peers.

    A process can be paused for any time and can't notice it at once. It may
    act as a member only while its heartbeat runs without gaps and peers
    acknowledge its probes. After a pause it is in doubt until a peer
    acknowledges, as alive, a probe that was sent *after* the pause.
    """

    def __init__(
        self, settings: settings_module.MembershipSettings, now: float
    ) -> None:
        self._settings = settings
        self._ticked_at = now
        self._doubt_since: float | None = None
        self._confirmed_at = now

    def restart(self, now: float) -> None:
        """Count this VM as confirmed: it starts, and no peer knows it yet."""
        self._ticked_at = now
        self._confirmed_at = now
        self._doubt_since = None

    def tick(self, now: float) -> None:
        """Record a heartbeat of this process."""
        self._detect_pause(now)
        self._ticked_at = now

    def confirm(self, probe_sent_at: float, now: float) -> None:
        """Record that a peer acknowledged a probe and saw this VM alive."""
        self._detect_pause(now)
        self._confirmed_at = max(self._confirmed_at, probe_sent_at)
        doubt = self._doubt_since
        if doubt is not None and probe_sent_at >= doubt:
            self._doubt_since = None

    def in_doubt(self, now: float) -> bool:
        """Return whether this VM was paused and hasn't been confirmed yet."""
        self._detect_pause(now)
        return self._doubt_since is not None

    def is_confirmed(self, now: float, *, has_peers: bool) -> bool:
        """Return whether this VM may act as an owner.

        ``has_peers`` tells whether any other VM counts as alive; a single VM
        has no peer that could confirm it.
        """
        self._detect_pause(now)
        if self._doubt_since is not None:
            return False
        if not has_peers:
            return True
        return now - self._confirmed_at < self._settings.suspicion_s

    def _detect_pause(self, now: float) -> None:
        if now - self._ticked_at > self._settings.pause_s:
            self._doubt_since = now
            self._ticked_at = now


def pick_probe_target(
    members: Members, source: random.Random, *, only_dead: bool
) -> Member | None:
    """Return a random live member, or a dead one with ``only_dead``.

    Dead members are probed too: after a partition each side has declared
    the other dead, and only a probe can detect that it has healed.
    """
    if only_dead:
        others = [
            member for member in members.list_members() if not member.reachable
        ]
    else:
        others = members.list_peers()
    return source.choice(others) if others else None


def _rank_record(record: messages.MemberRecord) -> tuple[int, int, int]:
    return record.epoch, record.incarnation, record.state
