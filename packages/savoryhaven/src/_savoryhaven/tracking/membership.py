"""Which VMs are there: records, their merging, and doubt about oneself.

The failure detector is of the SWIM family (Das, Gupta and Motivala, 2002):
a VM that misses its probes is suspected first and can refute, and news
travels on the probes. This module holds the decisions; ``detector`` sends.
"""

import math
import random
import typing

import attrs

from _savoryhaven.tracking import messages
from _savoryhaven.tracking import settings as settings_module

NEWS_PER_MESSAGE = 6
NEWS_REPEAT_FACTOR = 3
# Longer than any flow may be idle, so that a successor still finds who owned
# a bucket before it.
DEAD_RETENTION_S = 3_700.0

_State = messages.MemberState
_ELIGIBLE: typing.Final = (_State.ALIVE, _State.SUSPECT)


@attrs.define
class Member:
    """A VM as it is seen here."""

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
        """Return whether packets may be passed to the VM."""
        return self.record.state is not _State.DEAD


@attrs.frozen
class Joined:
    """A VM became eligible: it is new, or it came back from the dead."""

    record: messages.MemberRecord
    returned: bool


@attrs.frozen
class Departed:
    """A VM is leaving or dead and owns nothing any more."""

    record: messages.MemberRecord


@attrs.frozen
class DeclaredDead:
    """Others declared this VM dead; what it held may be held elsewhere."""


@attrs.frozen
class Superseded:
    """A later process runs under the name of this VM."""


Event = Joined | Departed | DeclaredDead | Superseded


@attrs.define
class _News:
    record: messages.MemberRecord
    sent: int = 0


class Members:
    """All VMs known here, this one included."""

    def __init__(
        self,
        me: messages.MemberRecord,
        times: settings_module.MembershipSettings,
        now: float,
    ) -> None:
        self.me = me
        self.times: typing.Final = times
        # Increases with each change of who is eligible or reachable.
        self.version = 1
        self._domain_versions: dict[str, int] = {}
        self._started_at = now
        self._members = {me.vm_id: Member(me, now)}
        self._news: dict[str, _News] = {}
        self._listeners: list[typing.Callable[[Event, float], None]] = []

    def listen(self, listener: typing.Callable[[Event, float], None]) -> None:
        """Call a function on each event."""
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

    def _note_change(self, domain: str) -> None:
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
        """Return the members that may own buckets, in one failure domain."""
        return [
            member
            for member in self._members.values()
            if member.eligible
            and domain in (None, member.record.failure_domain)
        ]

    def list_domain(self, domain: str) -> list[Member]:
        """Return all members of a failure domain, the dead included."""
        return [
            member
            for member in self._members.values()
            if member.record.failure_domain == domain
        ]

    def get_silence_start(self, domain: str) -> float:
        """Return since when no VM of a failure domain has been eligible.

        A domain that was never heard of counts from this VM's own start.
        """
        changes = [m.changed_at for m in self.list_domain(domain)]
        return max(changes, default=self._started_at)

    def merge(self, record: messages.MemberRecord, now: float) -> None:
        """Take in what somebody says about a VM."""
        if record.vm_id == self.me.vm_id:
            self._merge_own(record, now)
            return
        held = self._members.get(record.vm_id)
        if held is None:
            self._add(record, now)
        elif _rank_record(record) > _rank_record(held.record):
            self._replace(held, record, now)

    def note_knowledge(
        self, vm_id: str, knowledge: messages.Knowledge
    ) -> None:
        """Remember how new the document of a peer is."""
        held = self._members.get(vm_id)
        if held is not None:
            held.knowledge = knowledge

    def suspect(self, vm_id: str, now: float) -> None:
        """Suspect a VM that missed its probes."""
        held = self._members.get(vm_id)
        if held is None:
            return
        match held.record.state:
            case _State.ALIVE:
                self.merge(
                    attrs.evolve(held.record, state=_State.SUSPECT), now
                )
            case _State.LEAVING:
                # It said that it would go. A suspected VM may own buckets,
                # a leaving one must not.
                self.merge(attrs.evolve(held.record, state=_State.DEAD), now)

    def expire(self, now: float) -> None:
        """Declare suspected VMs dead, and forget those long dead."""
        for member in self.list_members():
            age = now - member.changed_at
            match member.record.state:
                case _State.SUSPECT if age >= self.times.suspicion_s:
                    self.merge(
                        attrs.evolve(member.record, state=_State.DEAD), now
                    )
                case _State.DEAD if age >= DEAD_RETENTION_S:
                    del self._members[member.vm_id]
                    self._note_change(member.record.failure_domain)

    def leave(self, now: float) -> None:
        """Make this VM a leaving one."""
        self._set_own(attrs.evolve(self.me, state=_State.LEAVING), now)

    def end(self, now: float) -> None:
        """Make this VM a dead one, as its last news."""
        self._set_own(attrs.evolve(self.me, state=_State.DEAD), now)

    def rejoin(self, epoch: int, now: float) -> None:
        """Make this VM a new member, after it was declared dead."""
        incarnation = self.me.incarnation + 1
        self._set_own(
            attrs.evolve(self.me, epoch=epoch, incarnation=incarnation), now
        )

    def take_news(self) -> tuple[messages.MemberRecord, ...]:
        """Return the least often sent news for one message."""
        count = len(self._members)
        repeats = NEWS_REPEAT_FACTOR * max(1, math.ceil(math.log2(count + 1)))
        chosen = sorted(self._news.values(), key=lambda news: news.sent)
        chosen = chosen[:NEWS_PER_MESSAGE]
        for news in chosen:
            news.sent += 1
            if news.sent >= repeats:
                self._news.pop(news.record.vm_id, None)
        return tuple(news.record for news in chosen)

    def _merge_own(self, record: messages.MemberRecord, now: float) -> None:
        if _rank_record(record) <= _rank_record(self.me):
            return
        if record.epoch > self.me.epoch:
            self._publish(Superseded(), now)
            return
        refuted = attrs.evolve(self.me, incarnation=record.incarnation + 1)
        self._set_own(refuted, now)
        if record.state is _State.DEAD:
            self._publish(DeclaredDead(), now)

    def _set_own(self, record: messages.MemberRecord, now: float) -> None:
        held = self._members[record.vm_id]
        self.me = record
        held.record = record
        held.changed_at = now
        self._note_change(record.failure_domain)
        self._news[record.vm_id] = _News(record)

    def _add(self, record: messages.MemberRecord, now: float) -> None:
        member = Member(record, now)
        self._members[record.vm_id] = member
        self._news[record.vm_id] = _News(record)
        self._note_change(record.failure_domain)
        if member.eligible:
            self._publish(Joined(record, returned=False), now)

    def _replace(
        self, held: Member, record: messages.MemberRecord, now: float
    ) -> None:
        was_eligible = held.eligible
        restarted = record.epoch > held.record.epoch
        if restarted and was_eligible:
            self._publish(Departed(held.record), now)
        was_reachable = held.reachable
        if held.record.state is not record.state or restarted:
            held.changed_at = now
        held.record = record
        changes = (held.eligible, held.reachable) != (
            was_eligible,
            was_reachable,
        )
        if changes or restarted:
            self._note_change(record.failure_domain)
        self._news[record.vm_id] = _News(record)
        if held.eligible and (restarted or not was_eligible):
            self._publish(Joined(record, returned=not restarted), now)
        elif was_eligible and not held.eligible:
            self._publish(Departed(record), now)

    def _publish(self, event: Event, now: float) -> None:
        for listener in self._listeners:
            listener(event, now)


class Standing:
    """Whether this VM may still believe that it is a member.

    A process can be paused for any time and can't notice it at once. It
    trusts itself only while its own clock ticks evenly and peers answer its
    probes. After a pause an acknowledgement of a probe that was sent *after*
    the pause has to say that it is still alive.
    """

    def __init__(
        self, times: settings_module.MembershipSettings, now: float
    ) -> None:
        self._times = times
        self._ticked_at = now
        self._doubt_since: float | None = None
        self._confirmed_at = now

    def restart(self, now: float) -> None:
        """Trust this VM from now on: it starts, and nobody knows it yet."""
        self._ticked_at = now
        self._confirmed_at = now
        self._doubt_since = None

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        self._notice_pause(now)
        self._ticked_at = now

    def confirm(self, probe_sent_at: float, now: float) -> None:
        """Note that a peer, asked at a time, sees this VM alive."""
        self._notice_pause(now)
        self._confirmed_at = max(self._confirmed_at, probe_sent_at)
        doubt = self._doubt_since
        if doubt is not None and probe_sent_at >= doubt:
            self._doubt_since = None

    def in_doubt(self, now: float) -> bool:
        """Return whether this VM was paused and hasn't been confirmed yet."""
        self._notice_pause(now)
        return self._doubt_since is not None

    def is_certain(self, now: float, *, has_peers: bool) -> bool:
        """Return whether this VM may decide as an owner.

        ``has_peers`` says whether any other VM counts as alive here: the
        only VM there is has nobody to be confirmed by.
        """
        self._notice_pause(now)
        if self._doubt_since is not None:
            return False
        if not has_peers:
            return True
        return now - self._confirmed_at < self._times.suspicion_s

    def _notice_pause(self, now: float) -> None:
        if now - self._ticked_at > self._times.pause_s:
            self._doubt_since = now
            self._ticked_at = now


def pick_probe_target(
    members: Members, source: random.Random, *, include_dead: bool
) -> Member | None:
    """Return a random member to probe.

    Dead members are probed now and then: after a partition each side holds
    the other for dead, and only a probe can tell that it has healed.
    """
    if include_dead:
        others = [
            member for member in members.list_members() if not member.reachable
        ]
    else:
        others = members.list_peers()
    return source.choice(others) if others else None


def _rank_record(record: messages.MemberRecord) -> tuple[int, int, int]:
    return record.epoch, record.incarnation, record.state
