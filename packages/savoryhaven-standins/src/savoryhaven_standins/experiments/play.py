"""Runs a day on real VMs and a simulation of the users' platform."""

import asyncio
import collections
import enum
import random
import signal
import typing

import attrs

from savoryhaven_standins.experiments import days
from savoryhaven_standins.users_platform import clients as clients_module
from savoryhaven_standins.users_platform import hosts as hosts_module
from savoryhaven_standins.users_platform import site as site_module

# The number of client addresses that callers share.
CLIENTS = 24
SAMPLE_INTERVAL_S = 0.2
# The longest pause of a caller between two requests of a flow.
PAUSE_MAX_S = 0.3
SERVICES: typing.Final = {
    'desk': site_module.DESK,
    'vault': site_module.VAULT,
}


class Ending(enum.Enum):
    """The outcome of a caller's request."""

    SERVED = 'served'
    LATE = 'late'
    REFUSED = 'refused at once'
    UNANSWERED = 'opening unanswered'
    RESET = 'flow reset'
    WRONG_ANSWER = 'wrong answer'


@attrs.frozen
class Request:
    """One request; it started ``at_s`` seconds into the day."""

    at_s: float
    service: str
    ending: Ending
    latency_s: float


@attrs.frozen
class Sample:
    """The pending requests of each upstream, by name, at one time."""

    at_s: float
    loads: typing.Mapping[str, int]


@attrs.frozen
class Span:
    """A fault, with its start and end."""

    what: str
    began_s: float
    ended_s: float


@attrs.frozen
class Result:
    """The results of a day; ``misrouted`` are packets at wrong upstreams."""

    day: days.Day
    requests: list[Request] = attrs.field(factory=list)
    samples: list[Sample] = attrs.field(factory=list)
    spans: list[Span] = attrs.field(factory=list)
    misrouted: list[str] = attrs.field(factory=list)
    ran_repeatedly: list[str] = attrs.field(factory=list)


_ENDINGS: typing.Final = {
    clients_module.Outcome.SERVED: Ending.SERVED,
    clients_module.Outcome.LATE: Ending.LATE,
    clients_module.Outcome.RESET: Ending.RESET,
    clients_module.Outcome.WRONG_ANSWER: Ending.WRONG_ANSWER,
}


class Player:
    """Runs one day once."""

    def __init__(self, day: days.Day) -> None:
        self._day: typing.Final = day
        self._result: typing.Final = Result(day)
        # The seed determines all choices; timing depends on the machine.
        self._random: typing.Final = random.Random(day.seed)
        self._site: site_module.Site | None = None
        self._factor = 1.0
        self._began_at = 0.0
        self._serial = 0
        self._callers: set[asyncio.Task[None]] = set()

    async def run(self) -> Result:
        """Run the day, and return what callers and upstreams observed."""
        day = self._day
        async with site_module.Site(
            vms=day.vms,
            hosts=0,
            seed=day.seed,
            slots=day.slots,
            work_s=day.work_s,
        ) as site:
            self._site = site
            for service, count in day.upstreams.items():
                for _ in range(count):
                    await site.add_host(service)
            await self._play()
            self._result.misrouted.extend(site.observations.misrouted)
            runs = site.observations.run_counts.items()
            self._result.ran_repeatedly.extend(
                name for name, count in runs if count > 1
            )
        return self._result

    async def _play(self) -> None:
        self._began_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            sampling = group.create_task(self._sample())
            faults = [
                group.create_task(self._inject(fault))
                for fault in self._day.faults
            ]
            await self._start_callers()
            await asyncio.gather(*faults)
            await asyncio.gather(*self._callers)
            sampling.cancel()

    def _read_elapsed_s(self) -> float:
        return asyncio.get_running_loop().time() - self._began_at

    async def _sample(self) -> None:
        while True:
            loads = {
                host.name: host.pending_requests
                for host in self._site.hosts
                if host.alive
            }
            self._result.samples.append(Sample(self._read_elapsed_s(), loads))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _start_callers(self) -> None:
        """Start callers at random times until the day is over."""
        pool = [self._site.add_client() for _ in range(CLIENTS)]
        services = [name for name in SERVICES if self._day.upstreams.get(name)]
        while self._read_elapsed_s() < self._day.seconds:
            rate = self._day.arrivals_per_s * self._factor
            await asyncio.sleep(self._random.expovariate(rate))
            caller = asyncio.create_task(
                self._call(
                    self._random.choice(pool), self._random.choice(services)
                )
            )
            self._callers.add(caller)
            caller.add_done_callback(self._callers.discard)

    async def _call(self, client: clients_module.Client, service: str) -> None:
        """Open a flow and send its requests one after the other."""
        began_s = self._read_elapsed_s()
        flow = await client.open(SERVICES[service])
        if not flow.is_open:
            refused = flow.is_refused
            ending = Ending.REFUSED if refused else Ending.UNANSWERED
            self._record(began_s, service, ending)
            return
        body = b''
        if service == 'vault':
            body = bytes(self._day.upload_bytes)
        for _ in range(self._random.randint(1, self._day.requests_max)):
            self._serial += 1
            outcome = await flow.request(f'r{self._serial}', body)
            self._record(began_s, service, _ENDINGS[outcome])
            if outcome is not clients_module.Outcome.SERVED:
                break
            await asyncio.sleep(self._random.uniform(0.0, PAUSE_MAX_S))
            began_s = self._read_elapsed_s()
        await flow.close()

    def _record(self, began_s: float, service: str, ending: Ending) -> None:
        latency_s = self._read_elapsed_s() - began_s
        self._result.requests.append(
            Request(began_s, service, ending, latency_s)
        )

    async def _inject(self, fault: days.AnyFault) -> None:
        await asyncio.sleep(fault.at_s)
        began_s = self._read_elapsed_s()
        what = await self._apply(fault)
        self._result.spans.append(Span(what, began_s, self._read_elapsed_s()))

    async def _apply(self, fault: days.AnyFault) -> str:
        """Inject a fault and revert it; return its description."""
        match fault:
            case days.KillVm() | days.StopVm() | days.PauseVm():
                return await self._disturb_vm(fault)
            case days.CrashUpstream() | days.DrainUpstream():
                return await self._disturb_upstream(fault)
            case days.SpoilLink() | days.SpoilStore():
                return await self._disturb_store(fault)
            case days.LosePackets(share=share):
                await self._site.lose_packets(share, fault.for_s)
                return f'{share:.0%} of packets lost'
            case days.Burst(factor=factor):
                self._factor *= factor
                await asyncio.sleep(fault.for_s)
                self._factor /= factor
                return f'{factor:g} times the arrival rate'

    async def _disturb_vm(
        self, fault: days.KillVm | days.StopVm | days.PauseVm
    ) -> str:
        match fault:
            case days.KillVm(vm=vm):
                await self._end_vm(vm, signal.SIGKILL, fault.for_s)
                return f'{vm} killed'
            case days.StopVm(vm=vm):
                await self._end_vm(vm, signal.SIGTERM, fault.for_s)
                return f'{vm} stopped'
            case days.PauseVm(vm=vm):
                await self._site.pause_vm(vm, fault.for_s)
                return f'{vm} paused'

    async def _disturb_upstream(
        self, fault: days.CrashUpstream | days.DrainUpstream
    ) -> str:
        host = self._find_upstream(fault.service)
        match fault:
            case days.CrashUpstream(service=service):
                host.crash()
                await asyncio.sleep(fault.for_s)
                await host.start()
                return f'{host.name} ({service}) crashed'
            case days.DrainUpstream(service=service):
                await host.drain()
                await asyncio.sleep(fault.for_s)
                await host.leave()
                return f'{host.name} ({service}) drained'

    async def _disturb_store(
        self, fault: days.SpoilLink | days.SpoilStore
    ) -> str:
        match fault:
            case days.SpoilLink(vm=vm, link=link):
                await self._site.spoil_link(vm, link, fault.for_s)
                return f'{vm} to store {link.value}'
            case days.SpoilStore(mode=mode):
                await self._site.spoil_store(mode, fault.for_s)
                return f'store {mode.value}'

    async def _end_vm(
        self, vm: str, number: signal.Signals, length_s: float
    ) -> None:
        self._site.processes.send_signal(vm, number)
        await self._site.processes.wait(vm)
        await asyncio.sleep(length_s)
        await self._site.start_vm(vm)

    def _find_upstream(self, service: str) -> hosts_module.Host:
        """Return a serving upstream; raise ``LookupError`` if none is left."""
        for host in self._site.hosts:
            serves = host.alive and host.draining_since is None
            if host.service == service and serves:
                return host
        raise LookupError(f'service {service} has no serving upstream left')


def count_endings(
    requests: typing.Iterable[Request],
) -> dict[str, collections.Counter[Ending]]:
    """Return the number of requests by service and outcome."""
    counts: dict[str, collections.Counter[Ending]] = {}
    for request in requests:
        counter = counts.setdefault(request.service, collections.Counter())
        counter[request.ending] += 1
    return counts
