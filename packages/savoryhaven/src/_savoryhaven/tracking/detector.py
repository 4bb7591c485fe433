"""The failure detector: probes peers and gossips membership records."""

import asyncio
import itertools
import typing

from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import membership
from _savoryhaven.tracking import messages

HEARTBEAT_INTERVAL_S = 0.1
# Members are checked for expiry every fifth heartbeat.
HEARTBEATS_PER_EXPIRY = 5
INDIRECT_PROBES = 3
# Every fourth round also probes a VM that counts as dead.
ROUNDS_PER_DEAD_PROBE = 4
CONFIRMATION_PROBES = 3


class Detector:
    """Sends and answers the probes of one VM."""

    def __init__(
        self,
        context: context_module.Context,
        send: typing.Callable[[str, messages.Message], None],
        note_knowledge: typing.Callable[[str, messages.Knowledge], None],
    ) -> None:
        self._context: typing.Final = context
        self._send: typing.Final = send
        self._note_knowledge: typing.Final = note_knowledge
        self._sequence = itertools.count(1)
        self._pending: dict[int, asyncio.Event] = {}
        self._sent_at: dict[int, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run_heartbeat(self) -> None:
        """Detect pauses of this process; ask peers for confirmation then."""
        context = self._context
        for beat in itertools.count():
            now = context.clock.read_monotonic()
            context.local_health.tick(now)
            if beat % HEARTBEATS_PER_EXPIRY == 0:
                context.members.expire(now)
            if context.local_health.in_doubt(now):
                self._request_confirmation()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def run_probes(self) -> None:
        """Probe a random VM at each interval until cancelled."""
        for round_number in itertools.count():
            await asyncio.sleep(self._jitter_interval())
            dead = round_number % ROUNDS_PER_DEAD_PROBE == 0
            if dead:
                self._probe_random_dead()
            target = membership.pick_probe_target(
                self._context.members, self._context.random, only_dead=False
            )
            if target is not None:
                await self._probe(target)

    def _jitter_interval(self) -> float:
        """Return the interval, randomized so that VMs don't synchronize."""
        interval = self._context.settings.membership.probe_interval_s
        return interval * self._context.random.uniform(0.8, 1.2)

    def _probe_random_dead(self) -> None:
        target = membership.pick_probe_target(
            self._context.members, self._context.random, only_dead=True
        )
        if target is not None:
            self.send_probe(target.vm_id)

    def _request_confirmation(self) -> None:
        peers = self._context.members.list_peers()
        count = min(len(peers), CONFIRMATION_PROBES)
        for peer in self._context.random.sample(peers, count):
            self.send_probe(peer.vm_id)

    async def _probe(self, target: membership.Member) -> None:
        """Probe directly, then again and through peers, then suspect."""
        context = self._context
        timeout_s = context.settings.membership.probe_timeout_s
        sequence = next(self._sequence)
        answered = asyncio.Event()
        self._pending[sequence] = answered
        self._send_probe(target.vm_id, sequence)
        try:
            if await _wait(answered, timeout_s):
                return
            self._send_probe(target.vm_id, sequence)
            self._probe_indirectly(target, sequence)
            if await _wait(answered, 2 * timeout_s):
                return
        finally:
            del self._pending[sequence]
        now = context.clock.read_monotonic()
        if not context.local_health.in_doubt(now):
            context.members.suspect(target.vm_id, now)

    def send_probe(self, vm_id: str) -> None:
        """Send a probe to spread gossip, without waiting for the answer."""
        self._send_probe(vm_id, next(self._sequence))

    def _send_probe(self, vm_id: str, sequence: int) -> None:
        context = self._context
        # A repeated probe keeps the time of the first transmission, because
        # the answer may be to that one.
        self._sent_at.setdefault(sequence, context.clock.read_monotonic())
        # Times are not removed on an answer, so the oldest are dropped here.
        while len(self._sent_at) > 100:
            del self._sent_at[next(iter(self._sent_at))]
        self._send(vm_id, self._make_probe(sequence))

    def make_probe(self) -> messages.Probe:
        """Return a probe for a VM that is not a member yet."""
        return self._make_probe(next(self._sequence))

    def _make_probe(self, sequence: int) -> messages.Probe:
        context = self._context
        return messages.Probe(
            sequence,
            context.members.me,
            context.get_knowledge(),
            context.members.take_gossip(),
        )

    def _probe_indirectly(
        self, target: membership.Member, sequence: int
    ) -> None:
        peers = [
            peer
            for peer in self._context.members.list_peers()
            if peer.vm_id != target.vm_id
        ]
        count = min(len(peers), INDIRECT_PROBES)
        request = messages.ProbeRequest(
            sequence, self._context.members.me, target.record
        )
        for peer in self._context.random.sample(peers, count):
            self._send(peer.vm_id, request)

    def receive(self, message: messages.Message) -> None:
        """Handle a message of the detector."""
        now = self._context.clock.read_monotonic()
        match message:
            case messages.Probe():
                self._answer_probe(message, now)
            case messages.ProbeAck():
                self._process_ack(message, now)
            case messages.ProbeRequest():
                task = asyncio.create_task(self._probe_for(message))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case messages.IndirectAck(sequence):
                self._signal_answer(sequence)

    def _merge_gossip(
        self,
        sender: messages.MemberRecord,
        gossip: tuple[messages.MemberRecord, ...],
        knowledge: messages.Knowledge,
        now: float,
    ) -> None:
        members = self._context.members
        members.merge(sender, now)
        for record in gossip:
            members.merge(record, now)
        members.note_knowledge(sender.vm_id, knowledge)
        self._note_knowledge(sender.vm_id, knowledge)

    def _answer_probe(self, probe: messages.Probe, now: float) -> None:
        context = self._context
        self._merge_gossip(probe.sender, probe.gossip, probe.knowledge, now)
        member = context.members.get(probe.sender.vm_id)
        ack = messages.ProbeAck(
            probe.sequence,
            context.members.me,
            member.record,
            context.get_knowledge(),
            context.members.take_gossip(),
        )
        self._send(probe.sender.vm_id, ack)

    def _process_ack(self, ack: messages.ProbeAck, now: float) -> None:
        members = self._context.members
        self._merge_gossip(ack.sender, ack.gossip, ack.knowledge, now)
        members.merge(ack.seen, now)
        sent_at = self._sent_at.get(ack.sequence)
        alive = ack.seen.state is not messages.MemberState.DEAD
        if alive and ack.seen.epoch == members.me.epoch:
            if sent_at is not None:
                self._context.local_health.confirm(sent_at, now)
        self._signal_answer(ack.sequence)

    async def _probe_for(self, request: messages.ProbeRequest) -> None:
        """Probe a VM for a peer, and send the peer an acknowledgement."""
        now = self._context.clock.read_monotonic()
        self._context.members.merge(request.sender, now)
        if self._context.members.get(request.target.vm_id) is None:
            return
        sequence = next(self._sequence)
        answered = asyncio.Event()
        self._pending[sequence] = answered
        self._send_probe(request.target.vm_id, sequence)
        timeout_s = self._context.settings.membership.probe_timeout_s
        try:
            if await _wait(answered, timeout_s):
                ack = messages.IndirectAck(request.sequence, request.target)
                self._send(request.sender.vm_id, ack)
        finally:
            del self._pending[sequence]

    def _signal_answer(self, sequence: int) -> None:
        waiting = self._pending.get(sequence)
        if waiting is not None:
            waiting.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
