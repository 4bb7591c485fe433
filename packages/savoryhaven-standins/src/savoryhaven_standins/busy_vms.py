"""Simulates VMs whose processors are too slow for their traffic.

Only the processors are limited; the network and the upstreams are not. A
client sends an opening to a random VM, copies of it after 200 and 600 ms, and
gives up after 1.4 s. It tries again twice: at once after a reset, else after
it has given up. An open flow has five packets, one of them a request.
"""

import collections
import heapq
import itertools
import random
import typing

import attrs

from _savoryhaven.operation import sockets
from _savoryhaven.placement import own_limits

TRIES = 3
COPY_AFTER_S = (0.2, 0.4)
GIVE_UP_S = 0.8
ROUND_TRIP_S = 0.015
WORK_S = 0.06
TARGET_S = 0.5
REQUEST_COPIES = 2
# Packets that the kernel keeps in a VM's socket.
BUFFER_PACKETS = 500
# Packets of an open flow: acknowledgements of the opening and of the answer,
# the request, and the end.
FLOW_PACKETS = 5
# Clients by priority.
PRIORITY_WEIGHTS = (0.3, 0.4, 0.3)


@attrs.frozen
class Costs:
    """Seconds of a full core for one packet, with its socket calls."""

    opening: float
    refusal: float
    established: float

    @property
    def flow(self) -> float:
        """Return the cost of a flow and its request."""
        return self.opening + FLOW_PACKETS * self.established


@attrs.define(eq=False)
class Result:
    """What became of the clients that began after the warm-up.

    The dictionaries count clients by priority.
    """

    measured_s: float
    capacity_per_s: float
    began: dict[int, int] = attrs.field(factory=collections.Counter)
    admitted: dict[int, int] = attrs.field(factory=collections.Counter)
    in_time: dict[int, int] = attrs.field(factory=collections.Counter)
    openings: int = 0
    refused: int = 0
    refused_run: int = 0
    changes: list[own_limits.Change] = attrs.field(factory=list)

    @property
    def goodput(self) -> float:
        """Return the requests answered in time, as a part of capacity."""
        return (
            sum(self.in_time.values()) / self.measured_s / self.capacity_per_s
        )

    @property
    def admitted_shares(self) -> list[float]:
        """Return the part of the clients that was admitted, by priority."""
        return [
            self.admitted[priority] / max(1, self.began[priority])
            for priority in range(len(PRIORITY_WEIGHTS))
        ]


def find_attainable(load: float, costs: Costs) -> float:
    """Return the goodput if refusals took the only time lost.

    Each opening is admitted with the same probability, which is searched so
    that flows and refusals use the whole processor.
    """
    refusal = costs.refusal / costs.flow
    low, high = 0.0, 1.0
    for _ in range(50):
        admitted = (low + high) / 2
        refused = 1 - admitted
        openings = load * sum(refused**n for n in range(TRIES))
        if openings * (admitted + refused * refusal) > 1:
            high = admitted
        else:
            low = admitted
    return openings * admitted


@attrs.define(eq=False)
class _Client:
    began_at: float
    priority: int
    measured: bool
    tries: int = 0
    admitted: bool = False


@attrs.define(eq=False)
class _Flow:
    """One try of a client; its packets pass through one VM."""

    client: _Client
    vm: '_Vm'
    draw: float
    opened: bool = False
    refused: bool = False
    answered: bool = False
    abandoned: bool = False
    requested: bool = False
    done: bool = False


@attrs.define(eq=False)
class _Vm:
    limits: own_limits.OwnLimits | None
    queue: collections.deque[tuple[float, typing.Callable, _Flow]] = (
        attrs.field(factory=collections.deque)
    )
    busy: bool = False


class Simulation:
    """Some VMs with ``cores`` of a processor each, and their clients."""

    def __init__(
        self,
        *,
        vms: int,
        load: float,
        costs: Costs,
        seed: int,
        shed: bool,
        cores: float = 0.116,
        warm_up_s: float = 2.0,
        measured_s: float = 4.0,
    ) -> None:
        self._source: typing.Final = random.Random(seed)
        self._opening_s: typing.Final = costs.opening / cores
        self._refusal_s: typing.Final = costs.refusal / cores
        self._established_s: typing.Final = costs.established / cores
        self._vms: typing.Final = [
            _Vm(own_limits.OwnLimits(0.05) if shed else None)
            for _ in range(vms)
        ]
        capacity_per_s = vms * cores / costs.flow
        self._rate_per_s: typing.Final = load * capacity_per_s
        self._warm_up_s: typing.Final = warm_up_s
        self._ends_at: typing.Final = warm_up_s + measured_s
        self._events: list[tuple[float, int, typing.Callable, typing.Any]] = []
        self._numbers: typing.Final = itertools.count()
        self._now = 0.0
        self.result: typing.Final = Result(measured_s, capacity_per_s)

    def run(self) -> Result:
        """Run, and return what became of the clients."""
        self._schedule(0.0, self._begin, None)
        # Clients that began at the end may still be answered in time.
        while self._now < self._ends_at + TARGET_S:
            self._now, _, action, subject = heapq.heappop(self._events)
            action(subject)
        return self.result

    def _schedule(
        self, at: float, action: typing.Callable, subject: typing.Any
    ) -> None:
        heapq.heappush(
            self._events, (at, next(self._numbers), action, subject)
        )

    def _begin(self, subject: None) -> None:
        self._schedule(
            self._now + self._source.expovariate(self._rate_per_s),
            self._begin,
            None,
        )
        (priority,) = self._source.choices(
            range(len(PRIORITY_WEIGHTS)), PRIORITY_WEIGHTS
        )
        measured = self._warm_up_s <= self._now < self._ends_at
        if measured:
            self.result.began[priority] += 1
        self._try(_Client(self._now, priority, measured))

    def _try(self, client: _Client) -> None:
        if client.tries == TRIES:
            return
        client.tries += 1
        flow = _Flow(
            client, self._source.choice(self._vms), self._source.random()
        )
        self._send_opening((flow, 0))

    def _send_opening(self, subject: tuple[_Flow, int]) -> None:
        flow, copy = subject
        if flow.answered or flow.abandoned:
            return
        self._send(flow, self._handle_opening)
        if copy < len(COPY_AFTER_S):
            self._schedule(
                self._now + COPY_AFTER_S[copy],
                self._send_opening,
                (flow, copy + 1),
            )
        else:
            self._schedule(self._now + GIVE_UP_S, self._give_up, flow)

    def _give_up(self, flow: _Flow) -> None:
        if not (flow.answered or flow.abandoned):
            flow.abandoned = True
            self._try(flow.client)

    def _send(self, flow: _Flow, handle: typing.Callable) -> None:
        """Put a packet into the socket of its VM, unless that is full."""
        vm = flow.vm
        if len(vm.queue) < BUFFER_PACKETS:
            vm.queue.append((self._now, handle, flow))
        if not vm.busy:
            vm.busy = True
            self._schedule(self._now, self._read, vm)

    def _read(self, vm: _Vm) -> None:
        """Handle what a VM reads in one wake-up."""
        if not vm.queue:
            vm.busy = False
            return
        at = self._now
        if vm.limits is not None:
            change = vm.limits.note_wait(at - vm.queue[0][0], at)
            if change is not None:
                self.result.changes.append(change)
        for _ in range(min(len(vm.queue), sockets.BATCH_DATAGRAMS)):
            _, handle, flow = vm.queue.popleft()
            at = handle(flow, at)
        self._schedule(at, self._read, vm)

    def _handle_opening(self, flow: _Flow, at: float) -> float:
        """Return when an opening has been handled."""
        if flow.opened:
            return at + self._established_s
        self.result.openings += 1
        limits = flow.vm.limits
        client = flow.client
        if limits is not None and not limits.admit(client.priority, flow.draw):
            self.result.refused += 1
            flow.refused = True
            at += self._refusal_s
            self._schedule(at + ROUND_TRIP_S, self._receive_reset, flow)
            return at
        flow.opened = True
        if client.measured and not client.admitted:
            client.admitted = True
            self.result.admitted[client.priority] += 1
        at += self._opening_s
        self._schedule(at + ROUND_TRIP_S, self._receive_answer, flow)
        return at

    def _receive_reset(self, flow: _Flow) -> None:
        if not (flow.answered or flow.abandoned):
            flow.abandoned = True
            self._try(flow.client)

    def _receive_answer(self, flow: _Flow) -> None:
        """Send the request once the upstream has answered the opening."""
        if flow.abandoned:
            return
        flow.answered = True
        self._send(flow, self._handle_other)
        self._send_request((flow, 0))

    def _send_request(self, subject: tuple[_Flow, int]) -> None:
        flow, copy = subject
        if flow.done:
            return
        self._send(flow, self._handle_request)
        if copy < REQUEST_COPIES:
            self._schedule(
                self._now + COPY_AFTER_S[copy],
                self._send_request,
                (flow, copy + 1),
            )

    def _handle_request(self, flow: _Flow, at: float) -> float:
        at += self._established_s
        if not flow.requested:
            flow.requested = True
            self.result.refused_run += flow.refused
            self._schedule(at + ROUND_TRIP_S + WORK_S, self._finish, flow)
        return at

    def _handle_other(self, flow: _Flow, at: float) -> float:
        return at + self._established_s

    def _finish(self, flow: _Flow) -> None:
        flow.done = True
        client = flow.client
        if client.measured and self._now - client.began_at <= TARGET_S:
            self.result.in_time[client.priority] += 1
        for _ in range(FLOW_PACKETS - 2):
            self._send(flow, self._handle_other)
