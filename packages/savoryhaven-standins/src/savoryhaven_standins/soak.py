"""A randomized soak: real VMs, faults from outside, promises checked.

    python -m savoryhaven_standins.soak --seeds 1-50 --seconds 20

Faults come in series and overlap: signals to the VMs' processes, a store that
is silent, busy or forgets, connections to it that are delayed, reset, cut one
way or silenced, hosts that crash, drain and return, packets that are lost.
What clients and hosts see is checked against the promises of the users'
pages. One seed draws one series; timing is the machine's.
"""

import argparse
import asyncio
import random
import signal
import sys
import typing

import attrs

from savoryhaven_standins.users_platform import clients as clients_module
from savoryhaven_standins.users_platform import hosts as hosts_module
from savoryhaven_standins.users_platform import proxy
from savoryhaven_standins.users_platform import site as site_module
from savoryhaven_standins.users_platform import store

# The users' bounds, in seconds: a leaving host gets no new flows, and a
# configuration is in force, so long after the store took it.
DRAIN_S = 3.0
CONFIGURATION_S = 3.0
# So long after a disturbance a bound does not hold yet.
STABILITY_S = 4.0
VMS = 3
HOSTS = 6
CALLERS = 12
REQUESTS_MAX = 6
PAUSE_MAX_S = 0.4
FAULT_GAP_S = (0.2, 2.0)
FAULT_LENGTH_S = (0.5, 3.0)
LOSS = 0.02
RECOVERY_S = 6.0
RECOVERY_REQUESTS = 20
Outcome = clients_module.Outcome


@attrs.define
class _Version:
    """A configuration, and when the store took it."""

    at: float
    desk_to: str


class Soak:
    """One run of one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        *,
        vms: int = VMS,
        plugins: tuple[str, ...] = (),
    ) -> None:
        self.violations: list[str] = []
        self.outcomes: dict[Outcome, int] = dict.fromkeys(Outcome, 0)
        self.faults: list[str] = []
        self._seed = seed
        self._seconds = seconds
        self._vms = vms
        self._plugins = plugins
        # What callers and faults choose depends on timing; the series of
        # faults does not, and is the same for a seed on any machine.
        self._random = random.Random(seed)
        self._schedule: typing.Final = random.Random(f'schedule {seed}')
        self._site: site_module.Site | None = None
        self._tasks: set[asyncio.Task] = set()
        self._disturbed: list[tuple[float, float]] = []
        self._versions: list[_Version] = []
        self._stopping: set[str] = set()
        self._serial = 0

    async def run(self) -> list[str]:
        """Return the broken promises."""
        async with site_module.Site(
            vms=self._vms,
            hosts=HOSTS,
            seed=self._seed,
            plugins=self._plugins,
        ) as site:
            self._site = site
            self._versions.append(_Version(_now(), 'desk'))
            callers = [
                asyncio.create_task(self._call(site.add_client()))
                for _ in range(CALLERS)
            ]
            await self._inject()
            await asyncio.gather(*self._tasks)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self._check_recovery()
            self._check_ledger()
            self._check_processes()
        return self.violations

    async def _call(self, client: clients_module.Client) -> None:
        """Open flows and use them, again and again."""
        while True:
            service = self._random.choice(
                (site_module.DESK, site_module.VAULT)
            )
            flow = await client.open(service)
            for _ in range(self._random.randint(1, REQUESTS_MAX)):
                await asyncio.sleep(self._random.uniform(0, PAUSE_MAX_S))
                if await self._request(flow) is not Outcome.SERVED:
                    break
            await flow.close()

    async def _request(
        self, flow: clients_module.ClientFlow
    ) -> clients_module.Outcome:
        self._serial += 1
        name = f'q{self._serial}'
        outcome = await flow.request(name)
        self.outcomes[outcome] += 1
        if outcome is Outcome.MIXED:
            self._note(f'{name} got an answer that is not its own')
        holder = self._site.ledger.open_at.get(flow.key)
        if outcome is Outcome.RESET and holder is not None and holder.alive:
            self._note(f'{name} was reset, though {holder.name} holds it')
        return outcome

    async def _inject(self) -> None:
        """Start faults one after the other, whether others go on or not."""
        actions = (
            self._stop_vm,
            self._kill_vm,
            self._pause_vm,
            self._reload_vm,
            self._spoil_store,
            self._spoil_link,
            self._crash_host,
            self._drain_host,
            self._configure,
            self._lose_packets,
            self._forget_history,
        )
        end = _now() + self._seconds
        while _now() < end:
            await asyncio.sleep(self._schedule.uniform(*FAULT_GAP_S))
            action = self._schedule.choice(actions)
            length_s = self._schedule.uniform(*FAULT_LENGTH_S)
            self.faults.append(f'{action.__name__[1:]} {length_s:.1f}')
            task = asyncio.create_task(self._disturb(action, length_s))
            self._tasks.add(task)

    async def _disturb(
        self,
        action: typing.Callable[[float], typing.Awaitable[None]],
        length_s: float,
    ) -> None:
        began = _now()
        index = len(self._disturbed)
        self._disturbed.append((began, float('inf')))
        await action(length_s)
        self._disturbed[index] = (began, _now())

    def _draw_vm(self) -> str | None:
        """Return a running VM that nothing else is done to."""
        free = [
            name
            for name in self._site.processes.running
            if name not in self._stopping
        ]
        return self._random.choice(free) if free else None

    async def _stop_vm(self, length_s: float) -> None:
        await self._end_vm(signal.SIGTERM, length_s)

    async def _kill_vm(self, length_s: float) -> None:
        await self._end_vm(signal.SIGKILL, length_s)

    async def _end_vm(self, number: signal.Signals, length_s: float) -> None:
        name = self._draw_vm()
        if name is None:
            return
        self._stopping.add(name)
        processes = self._site.processes
        processes.send_signal(name, number)
        try:
            async with asyncio.timeout(site_module.GRACE_S):
                status = await processes.running[name].wait()
        except TimeoutError:
            self._note(f'{name} did not stop within its grace period')
            processes.send_signal(name, signal.SIGKILL)
            status = 0
        await processes.wait(name)
        if number is signal.SIGTERM and status:
            self._note(f'{name} stopped with status {status}')
        await asyncio.sleep(length_s)
        await self._site.start_vm(name)
        self._stopping.discard(name)

    async def _pause_vm(self, length_s: float) -> None:
        name = self._draw_vm()
        if name is None:
            return
        self._stopping.add(name)
        await self._site.pause_vm(name, length_s)
        self._stopping.discard(name)

    async def _reload_vm(self, length_s: float) -> None:
        name = self._draw_vm()
        if name is not None:
            self._site.processes.send_signal(name, signal.SIGHUP)

    async def _spoil_store(self, length_s: float) -> None:
        modes = (
            store.Mode.SILENT,
            store.Mode.BUSY,
            store.Mode.MANY,
            store.Mode.SLOW,
        )
        await self._site.spoil_store(self._random.choice(modes), length_s)

    async def _spoil_link(self, length_s: float) -> None:
        link = self._random.choice(list(proxy.Link))
        name = self._random.choice(list(self._site.proxies))
        await self._site.spoil_link(name, link, length_s)

    def _draw_host(self) -> hosts_module.Host | None:
        """Return a host whose service keeps another one without it."""
        serving = [
            host
            for host in self._site.hosts
            if host.alive and host.draining_since is None
        ]
        spare = [
            host
            for host in serving
            if sum(other.service == host.service for other in serving) > 1
        ]
        return self._random.choice(spare) if spare else None

    async def _crash_host(self, length_s: float) -> None:
        host = self._draw_host()
        if host is None:
            return
        host.crash()
        await asyncio.sleep(length_s)
        await self._site.store.delete('servers', host.name)
        await self._site.add_host(host.service)

    async def _drain_host(self, length_s: float) -> None:
        host = self._draw_host()
        if host is None:
            return
        await self._site.add_host(host.service)
        await host.drain()
        await asyncio.sleep(DRAIN_S + length_s)
        await host.leave()

    async def _configure(self, length_s: float) -> None:
        desk_to = self._random.choice(('desk', 'vault'))
        self._versions.append(_Version(_now(), desk_to))
        number = len(self._versions) * 3
        await self._site.configure(number, desk_to=desk_to)

    async def _lose_packets(self, length_s: float) -> None:
        await self._site.lose_packets(LOSS, length_s)

    async def _forget_history(self, length_s: float) -> None:
        await self._site.store.forget_history()

    async def _check_recovery(self) -> None:
        """All is well again some seconds after the last fault."""
        for name in self._site.processes.running:
            await self._site.wait_ready(name)
        await asyncio.sleep(RECOVERY_S)
        client = self._site.add_client()
        for number in range(RECOVERY_REQUESTS):
            flow = await client.open(site_module.DESK)
            outcome = await flow.request(f'recovered-{number}')
            await flow.close()
            if outcome is not Outcome.SERVED:
                self._note(f'after the faults: {outcome.value}')

    def _check_ledger(self) -> None:
        ledger = self._site.ledger
        for stray in ledger.strays:
            self._note(f'a packet reached another host: {stray}')
        for name, count in ledger.ran.items():
            if count > 1:
                self._note(f'{name} ran {count} times')
        for at, host, service in ledger.openings:
            self._check_opening(at, host, service)

    def _check_opening(
        self, at: float, host: hosts_module.Host, service: tuple[int, int]
    ) -> None:
        drained = host.draining_since
        if drained is not None and self._is_overdue(drained, at, DRAIN_S):
            self._note(f'{host.name} got a flow {at - drained:.1f} s late')
        if service == site_module.VAULT:
            allowed = {'vault'}
        else:
            allowed = self._list_allowed(at)
        if host.service not in allowed:
            self._note(f'{service} went to {host.service}, not {allowed}')

    def _list_allowed(self, at: float) -> set[str]:
        """Return where a configuration that may be in force sends flows."""
        allowed = set()
        for index, version in enumerate(self._versions):
            following = self._versions[index + 1 : index + 2]
            ended = any(
                self._is_overdue(later.at, at, CONFIGURATION_S)
                for later in following
            )
            if version.at <= at and not ended:
                allowed.add(version.desk_to)
        return allowed

    def _is_overdue(self, since: float, at: float, bound_s: float) -> bool:
        """Return whether a bound has passed in undisturbed time."""
        calm_s = at - since
        cursor = since
        for began, ended in sorted(self._disturbed):
            start = max(cursor, began)
            end = min(at, ended + STABILITY_S)
            if end > start:
                calm_s -= end - start
                cursor = end
        return calm_s > bound_s

    def _check_processes(self) -> None:
        for name, process in self._site.processes.running.items():
            if process.returncode is not None:
                self._note(f'{name} ended with {process.returncode}')
            for event in self._site.read_events(name):
                if event['event'] == 'task_failed':
                    self._note(f'{name}: {event}')

    def _note(self, violation: str) -> None:
        self.violations.append(violation)


def _now() -> float:
    return asyncio.get_running_loop().time()


def run_seed(seed: int, seconds: float, **options: typing.Any) -> Soak:
    """Run one seed and return what it saw."""
    soak = Soak(seed, seconds, **options)
    asyncio.run(soak.run())
    return soak


def main() -> int:
    """Run seeds one after the other; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', default='1-3', help='FIRST-LAST')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--vms', type=int, default=VMS)
    chosen = parser.parse_args()
    # What was started here has to end however this process is ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first, _, last = chosen.seeds.partition('-')
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        soak = run_seed(seed, chosen.seconds, vms=chosen.vms)
        counts = {o.value: n for o, n in soak.outcomes.items() if n}
        print(f'seed {seed}: {len(soak.faults)} faults, {counts}', flush=True)
        for violation in soak.violations:
            print(f'  BROKEN {violation}', flush=True)
        if soak.violations:
            failed.append(seed)
            print(f'  faults: {soak.faults}', flush=True)
    print(f'seeds with a broken promise: {failed or "none"}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
