"""A randomized soak test of real VMs under injected faults.

    python -m savoryhaven_standins.soak --seeds 1-50 --seconds 20

Faults follow each other and overlap: signals to the VMs' processes, a store
that is silent, busy, slow or drops its history, connections to it that are
delayed, reset or silent in one or both directions, hosts that crash or drain
and are replaced, lost packets. With ``--restores`` the store comes back from
older copies as well; with ``--evacuations`` the operator evacuates and
restores a zone. What clients and hosts observe is checked
against the guarantees of the users' pages. The seed determines the sequence
of faults; the timing depends on the machine.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import sys
import typing

import attrs

from savoryhaven_standins.users_platform import clients as clients_module
from savoryhaven_standins.users_platform import hosts as hosts_module
from savoryhaven_standins.users_platform import proxy
from savoryhaven_standins.users_platform import site as site_module
from savoryhaven_standins.users_platform import store

# The users' bounds, from the write to the store until a draining host gets no
# new flows, and until a configuration is in force.
DRAIN_BOUND_S = 3.0
CONFIGURATION_BOUND_S = 3.0
# From the store's answer to the evacuation of a zone until its last opening.
EVACUATION_BOUND_S = 5.0
# How long the zone is evacuated, and how long it is not.
EVACUATION_LENGTH_S = (6.0, 12.0)
EVACUATION_GAP_S = (1.0, 4.0)
# The services have hosts in zone a, so that only this one is evacuated.
EVACUATED_ZONE = 'b'
# The bounds are suspended during a fault and for this time after it.
SETTLING_S = 4.0
VMS = 3
HOSTS = 6
CALLERS = 12
# The most requests of a flow, and the longest pause before each.
REQUESTS_MAX = 6
PAUSE_MAX_S = 0.4
FAULT_GAP_S = (0.2, 2.0)
FAULT_LENGTH_S = (0.5, 3.0)
LOSS_SHARE = 0.02
RECOVERY_S = 6.0
# After a restore hosts write again within their heartbeat interval.
HEARTBEAT_S = 1.2
RECOVERY_REQUESTS = 20
Outcome = clients_module.Outcome


@attrs.define
class _ConfigurationVersion:
    """A configuration, and when it was written to the store."""

    at: float
    number: int
    desk_to: str


@attrs.define
class _Evacuation:
    """When the store acknowledged an evacuation and its end."""

    began: float
    ended: float = float('inf')


class Soak:
    """One run with one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        *,
        vms: int = VMS,
        plugins: tuple[str, ...] = (),
        restores: bool = False,
        evacuations: bool = False,
        logs: pathlib.Path | None = None,
    ) -> None:
        self._logs = logs
        self.violations: list[str] = []
        self.outcomes: dict[Outcome, int] = dict.fromkeys(Outcome, 0)
        self.faults: list[str] = []
        self._seed = seed
        self._seconds = seconds
        self._vms = vms
        self._plugins = plugins
        self._restores = restores
        self._evacuates = evacuations
        self.evacuations: list[_Evacuation] = []
        # Faults in which VMs may have no contact with the store.
        self._lost_contacts: list[tuple[float, float]] = []
        # Choices of callers and faults depend on timing. The schedule has its
        # own generator, so that a seed gives the same faults on any machine.
        self._random = random.Random(seed)
        self._schedule: typing.Final = random.Random(f'schedule {seed}')
        self._site: site_module.Site | None = None
        self._tasks: set[asyncio.Task] = set()
        self._fault_periods: list[tuple[float, float]] = []
        self._versions: list[_ConfigurationVersion] = []
        self._faulty_vms: set[str] = set()
        self._serial = 0

    async def run(self) -> list[str]:
        """Run, and return the violated guarantees."""
        async with site_module.Site(
            vms=self._vms,
            hosts=HOSTS,
            seed=self._seed,
            plugins=self._plugins,
            zones=('a', EVACUATED_ZONE) if self._evacuates else ('a',),
            settings={'evacuation': self._evacuates},
        ) as site:
            self._site = site
            self._versions.append(_ConfigurationVersion(_now(), 1, 'desk'))
            callers = [
                asyncio.create_task(self._call(site.add_client()))
                for _ in range(CALLERS)
            ]
            if self._evacuates:
                self._tasks.add(asyncio.create_task(self._evacuate()))
            await self._inject()
            await asyncio.gather(*self._tasks)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self._check_recovery()
            self._check_observations()
            self._check_processes()
            if self._logs is not None and self.violations:
                shutil.copytree(
                    site.processes.folder,
                    self._logs / f'seed-{self._seed}',
                    dirs_exist_ok=True,
                )
        return self.violations

    async def _call(self, client: clients_module.Client) -> None:
        """Open flows and send requests until cancelled."""
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
        if outcome is Outcome.WRONG_ANSWER:
            self._add_violation(f'{name} got the answer to another request')
        host = self._site.observations.hosts_by_flow.get(flow.key)
        if outcome is Outcome.RESET and host is not None and host.alive:
            self._add_violation(
                f'{name} was reset, but its flow is open at {host.name}'
            )
        return outcome

    async def _inject(self) -> None:
        """Start faults one after the other; they may overlap."""
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
        if self._restores:
            # Twice, so that short runs have some of them.
            actions = (*actions, *[self._restore_store] * 2)
        end = _now() + self._seconds
        while _now() < end:
            await asyncio.sleep(self._schedule.uniform(*FAULT_GAP_S))
            action = self._schedule.choice(actions)
            length_s = self._schedule.uniform(*FAULT_LENGTH_S)
            self.faults.append(f'{action.__name__[1:]} {length_s:.1f}')
            task = asyncio.create_task(self._run_fault(action, length_s))
            self._tasks.add(task)

    async def _evacuate(self) -> None:
        """Evacuate and restore a zone until the last fault."""
        end = _now() + self._seconds
        while _now() < end:
            await asyncio.sleep(self._random.uniform(*EVACUATION_GAP_S))
            began = await self._site.evacuate(EVACUATED_ZONE)
            self.evacuations.append(_Evacuation(began))
            await asyncio.sleep(self._random.uniform(*EVACUATION_LENGTH_S))
            # From the call on, as its answer comes later.
            self.evacuations[-1].ended = _now()
            await self._site.restore_zone(EVACUATED_ZONE)

    async def _run_fault(
        self,
        action: typing.Callable[[float], typing.Awaitable[None]],
        length_s: float,
    ) -> None:
        began = _now()
        index = len(self._fault_periods)
        self._fault_periods.append((began, float('inf')))
        await action(length_s)
        self._fault_periods[index] = (began, _now())
        if action in (
            self._pause_vm,
            self._spoil_store,
            self._spoil_link,
            self._restore_store,
        ):
            self._lost_contacts.append((began, _now()))

    def _pick_vm(self) -> str | None:
        """Return a running VM without a fault that ends or pauses it."""
        free = [
            name
            for name in self._site.processes.running
            if name not in self._faulty_vms
        ]
        return self._random.choice(free) if free else None

    async def _stop_vm(self, length_s: float) -> None:
        await self._end_vm(signal.SIGTERM, length_s)

    async def _kill_vm(self, length_s: float) -> None:
        await self._end_vm(signal.SIGKILL, length_s)

    async def _end_vm(self, number: signal.Signals, length_s: float) -> None:
        name = self._pick_vm()
        if name is None:
            return
        self._faulty_vms.add(name)
        processes = self._site.processes
        processes.send_signal(name, number)
        try:
            async with asyncio.timeout(site_module.GRACE_S):
                status = await processes.running[name].wait()
        except TimeoutError:
            self._add_violation(f'{name} did not stop within its grace period')
            processes.send_signal(name, signal.SIGKILL)
            status = 0
        await processes.wait(name)
        if number is signal.SIGTERM and status:
            self._add_violation(f'{name} stopped with status {status}')
        await asyncio.sleep(length_s)
        await self._site.start_vm(name)
        self._faulty_vms.discard(name)

    async def _pause_vm(self, length_s: float) -> None:
        name = self._pick_vm()
        if name is None:
            return
        self._faulty_vms.add(name)
        await self._site.pause_vm(name, length_s)
        self._faulty_vms.discard(name)

    async def _reload_vm(self, length_s: float) -> None:
        name = self._pick_vm()
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

    def _pick_host(self) -> hosts_module.Host | None:
        """Return a serving host that isn't the last one of its service."""
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
        host = self._pick_host()
        if host is None:
            return
        host.crash()
        await asyncio.sleep(length_s)
        await self._site.store.delete('servers', host.name)
        await self._site.add_host(host.service, host.zone)

    async def _drain_host(self, length_s: float) -> None:
        host = self._pick_host()
        if host is None:
            return
        await self._site.add_host(host.service, host.zone)
        await host.drain()
        await asyncio.sleep(DRAIN_BOUND_S + length_s)
        await host.leave()

    async def _configure(self, length_s: float) -> None:
        desk_to = self._random.choice(('desk', 'vault'))
        number = (len(self._versions) + 1) * 3
        self._versions.append(_ConfigurationVersion(_now(), number, desk_to))
        await self._site.configure(number, desk_to=desk_to)

    async def _lose_packets(self, length_s: float) -> None:
        await self._site.lose_packets(LOSS_SHARE, length_s)

    async def _forget_history(self, length_s: float) -> None:
        await self._site.store.forget_history()

    async def _restore_store(self, length_s: float) -> None:
        """Let the store lose what was written in the meantime.

        Hosts and the operator write again, in another order. Entries of hosts
        that have left are back until they expire.
        """
        copy = self._site.store.take_copy()
        await asyncio.sleep(length_s)
        await self._site.store.restore(copy)
        hosts = list(self._site.hosts)
        self._random.shuffle(hosts)
        for host in hosts:
            await asyncio.sleep(HEARTBEAT_S / len(hosts))
            if host.alive:
                await host.register()
            else:
                await self._site.store.delete('servers', host.name)
        if self.evacuations and self.evacuations[-1].ended == float('inf'):
            await self._site.evacuate(EVACUATED_ZONE)
        elif self._evacuates:
            await self._site.restore_zone(EVACUATED_ZONE)
        last = self._versions[-1]
        await self._site.configure(last.number, desk_to=last.desk_to)

    async def _check_recovery(self) -> None:
        """Check that requests are served again after the last fault."""
        for name in self._site.processes.running:
            await self._site.wait_ready(name)
        await asyncio.sleep(RECOVERY_S)
        client = self._site.add_client()
        for number in range(RECOVERY_REQUESTS):
            flow = await client.open(site_module.DESK)
            outcome = await flow.request(f'recovered-{number}')
            await flow.close()
            if outcome is not Outcome.SERVED:
                self._add_violation(
                    f'request after the last fault: {outcome.value}'
                )

    def _check_observations(self) -> None:
        observations = self._site.observations
        for packet in observations.misrouted:
            self._add_violation(f'packet at a wrong host: {packet}')
        for name, count in observations.run_counts.items():
            if count > 1:
                self._add_violation(f'{name} ran {count} times')
        for at, host, service in observations.openings:
            self._check_opening(at, host, service)

    def _check_opening(
        self, at: float, host: hosts_module.Host, service: tuple[int, int]
    ) -> None:
        drained = host.draining_since
        if drained is not None and self._is_overdue(
            drained, at, DRAIN_BOUND_S
        ):
            self._add_violation(
                f'{host.name} got a flow {at - drained:.1f} s after its drain'
            )
        for evacuation in self.evacuations:
            if (
                host.zone == EVACUATED_ZONE
                and at < evacuation.ended
                and self._measure_contact(evacuation.began, at)
                > EVACUATION_BOUND_S
            ):
                self._add_violation(
                    f'{host.name} got a flow {at - evacuation.began:.1f} s '
                    'after the evacuation of its zone'
                )
        if service == site_module.VAULT:
            allowed = {'vault'}
        else:
            allowed = self._list_allowed(at)
        if host.service not in allowed:
            self._add_violation(
                f'flow of {service} opened at {host.service}, not {allowed}'
            )

    def _list_allowed(self, at: float) -> set[str]:
        """Return the targets of configurations that may be in force."""
        allowed = set()
        for index, version in enumerate(self._versions):
            following = self._versions[index + 1 : index + 2]
            ended = any(
                self._is_overdue(later.at, at, CONFIGURATION_BOUND_S)
                for later in following
            )
            if version.at <= at and not ended:
                allowed.add(version.desk_to)
        return allowed

    def _is_overdue(self, since: float, at: float, bound_s: float) -> bool:
        """Return whether the time without faults exceeds a bound."""
        undisturbed_s = at - since
        cursor = since
        for began, ended in sorted(self._fault_periods):
            start = max(cursor, began)
            end = min(at, ended + SETTLING_S)
            if end > start:
                undisturbed_s -= end - start
                cursor = end
        return undisturbed_s > bound_s

    def _measure_contact(self, since: float, at: float) -> float:
        """Return for how long all VMs had contact with the store.

        No time to settle is added: a VM that knew of an evacuation before it
        lost contact still knows.
        """
        contact_s = at - since
        cursor = since
        for began, ended in sorted(self._lost_contacts):
            start = max(cursor, began)
            end = min(at, ended)
            if end > start:
                contact_s -= end - start
                cursor = end
        return contact_s

    def _check_processes(self) -> None:
        for name, process in self._site.processes.running.items():
            if process.returncode is not None:
                self._add_violation(f'{name} ended with {process.returncode}')
            for event in self._site.read_events(name):
                if event['event'] == 'task_failed':
                    self._add_violation(f'{name}: {event}')

    def _add_violation(self, violation: str) -> None:
        self.violations.append(violation)


def _now() -> float:
    return asyncio.get_running_loop().time()


def run_seed(seed: int, seconds: float, **options: typing.Any) -> Soak:
    """Run one seed, and return the finished soak."""
    soak = Soak(seed, seconds, **options)
    asyncio.run(soak.run())
    return soak


def main() -> int:
    """Run seeds one after the other; return 1 on violations."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', default='1-3', help='FIRST-LAST')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--restores', action='store_true')
    parser.add_argument('--evacuations', action='store_true')
    parser.add_argument('--vms', type=int, default=VMS)
    parser.add_argument(
        '--logs',
        type=pathlib.Path,
        help='a folder for the logs of all processes of a seed that fails',
    )
    options = parser.parse_args()
    # Raise KeyboardInterrupt on SIGTERM, so that child processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first, _, last = options.seeds.partition('-')
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        soak = run_seed(
            seed,
            options.seconds,
            vms=options.vms,
            restores=options.restores,
            evacuations=options.evacuations,
            logs=options.logs,
        )
        counts = {o.value: n for o, n in soak.outcomes.items() if n}
        print(f'seed {seed}: {len(soak.faults)} faults, {counts}', flush=True)
        for violation in soak.violations:
            print(f'  VIOLATION {violation}', flush=True)
        if soak.violations:
            failed.append(seed)
            print(f'  faults: {soak.faults}', flush=True)
    print(f'seeds with violations: {failed or "none"}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
