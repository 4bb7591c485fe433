"""A VM that balances by tags: its tasks, start, reload and stop."""

import asyncio
import gc
import math
import random
import signal
import typing

from _savoryhaven import addresses
from _savoryhaven.datapath import forwarder as forwarder_module
from _savoryhaven.datapath import new_flows
from _savoryhaven.datapath import parts
from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import flow_places
from _savoryhaven.knowledge import gossip as gossip_module
from _savoryhaven.knowledge import members as members_module
from _savoryhaven.knowledge import reader as reader_module
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.model import packets
from _savoryhaven.model import upstreams
from _savoryhaven.operation import http
from _savoryhaven.operation import pauses
from _savoryhaven.operation import settings as settings_module
from _savoryhaven.operation import sockets
from _savoryhaven.operation import stops
from _savoryhaven.placement import slow_start as slow_start_module
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

# Heartbeat interval of a VM that has no routes or upstreams yet.
JOIN_INTERVAL_S = 0.1
# If neither the store nor peers confirm a VM's data within this time after its
# start (several failed calls to the store), it serves with its peers' data.
UNCONFIRMED_MAX_S = 2.5
# A VM that has just started leaves packets in its socket until it has routes
# and upstreams, which takes two calls to the store or peers, but no longer
# than this: after that, a copy of an opening may have gone to another VM (see
# ``pauses.PAUSE_MIN_S``).
INFORMED_MAX_S = 0.5
INFORMED_POLL_S = 0.005
SWEEP_INTERVAL_S = 0.5
FLUSH_INTERVAL_S = 0.2
# A VM writes its first log lines this long after its start: importing loguru
# takes a quarter of a second of a small VM, in which clients are waiting.
LOG_DELAY_S = 2.0
# How often the settings file is checked for changes made without a signal.
SETTINGS_INTERVAL_S = 1.0
TASK_RESTART_DELAY_S = 0.5
# The fabric polls readiness twice a second and reacts to the second miss.
ROTATION_EXIT_S = 1.6
# A stopping VM that got no packet for this time is out of rotation.
QUIET_S = 0.6
# The part of the grace period that is left for closing down.
STOP_RESERVE_S = 1.0
STOP_POLL_S = 0.05

_Count = counters_module.Count
# Returns what handles requests of operators for a node.
MakePages = typing.Callable[['Node'], http.Handler]


class Node:
    """One VM of the fleet."""

    def __init__(
        self,
        settings: settings_module.Settings,
        *,
        settings_path: str,
        platform: hooks.TaggedPlatform,
        clock: hooks.Clock,
        source: random.Random,
        make_pages: MakePages,
        data_socket: sockets.BoundSocket | None = None,
    ) -> None:
        self.settings = settings
        self.stopping = False
        self._settings_path: typing.Final = settings_path
        self._settings_source = ''
        self._platform: typing.Final = platform
        self._make_pages: typing.Final = make_pages
        self._clock: typing.Final = clock
        self._started_at: typing.Final = clock.read_monotonic()
        self._received_at = -math.inf
        self._data_socket = data_socket
        # Packets that wait in a socket since before the start are older.
        self._pauses: typing.Final = pauses.PauseDetector(
            self._started_at if data_socket is None else data_socket.bound_at
        )
        self._stop: typing.Final = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._data: sockets.UdpSocket | None = None
        self._peers: sockets.UdpSocket | None = None
        self.counters: typing.Final = counters_module.Counters()
        self.events: typing.Final = events_module.EventLog(
            clock, self.counters, common={'vm': settings.vm_id}
        )
        self.routes: typing.Final = routes_module.Routes()
        self.catalogue: typing.Final = catalogue_module.Catalogue(
            platform.codec
        )
        self.evacuations: typing.Final = (
            evacuations_module.Evacuations(
                catalogue=self.catalogue,
                counters=self.counters,
                events=self.events,
                on_restored=self._limit_restored,
            )
            if settings.evacuation
            else None
        )
        self.places: typing.Final = flow_places.FlowPlaces(
            self._announce_places,
            lambda: self.gossip.get_spare_rate(),
            counters=self.counters,
        )
        address = addresses.parse_address(settings.data_address)
        self._address: typing.Final = address
        self.members: typing.Final = members_module.Members(
            settings.vm_id, address.host, link_mbps=settings.link_mbps
        )
        self.fleet: typing.Final = slow_start_module.FleetView(
            self.members, self._started_at
        )
        self.slow_start: typing.Final = self._make_slow_start(source)
        self.forwarder: typing.Final = forwarder_module.Forwarder(
            codec=platform.codec,
            routes=self.routes,
            catalogue=self.catalogue,
            outputs=parts.Outputs(
                self._send_packet, self._send_to_client, self._request_tag
            ),
            places=self.places,
            failure_domain=settings.failure_domain,
            counters=self.counters,
            events=self.events,
            source=source,
            evacuations=self.evacuations,
            cold_start=self._make_cold_start(),
            uneven_upstreams=settings.uneven_upstreams,
        )
        self.gossip: typing.Final = gossip_module.Gossip(
            members=self.members,
            routes=self.routes,
            catalogue=self.catalogue,
            places=self.places,
            failure_domain=settings.failure_domain,
            incarnation=clock.read_epoch_ms(),
            send=self._send_to_peer,
            decode_configuration=platform.decode_configuration,
            counters=self.counters,
            events=self.events,
            source=source,
            evacuations=self.evacuations,
        )
        self.reader: typing.Final = reader_module.StoreReader(
            store=platform.open_store(settings.store),
            clock=clock,
            routes=self.routes,
            catalogue=self.catalogue,
            gossip=self.gossip,
            counters=self.counters,
            events=self.events,
            source=source,
            evacuations=self.evacuations,
        )

    def _make_slow_start(
        self, source: random.Random
    ) -> slow_start_module.SlowStart | None:
        if self.settings.cold_start is None:
            return None
        return slow_start_module.SlowStart(
            self.settings.vm_id,
            self.settings.cold_start,
            counters=self.counters,
            events=self.events,
            source=source,
        )

    def _make_cold_start(self) -> new_flows.ColdStart | None:
        if self.slow_start is None:
            return None
        return new_flows.ColdStart(self.slow_start, self.fleet.list_live_ids)

    def read_time(self) -> float:
        """Return the time of the VM's clock, in seconds."""
        return self._clock.read_monotonic()

    def read_age(self, confirmed_at: float) -> float:
        """Return the seconds since a time of the VM's clock."""
        return self.read_time() - confirmed_at

    def is_ready(self) -> bool:
        """Return whether the fabric may send packets here.

        Routes, upstreams and evacuated domains have to be confirmed after the
        start of the process. If neither the store nor peers confirm them
        within ``UNCONFIRMED_MAX_S``, those that the peers had are used; if
        nobody knows evacuated domains, none is excluded.
        """
        if self.stopping or self.routes.current is None:
            return False
        if not self.catalogue.revision:
            return False
        oldest = min(self.routes.confirmed_at, self.catalogue.confirmed_at)
        if self.evacuations is not None:
            oldest = min(oldest, self.evacuations.confirmed_at)
        waited_s = self.read_time() - self._started_at
        return oldest >= self._started_at or waited_s > UNCONFIRMED_MAX_S

    def request_stop(self) -> None:
        """Start the planned stop."""
        self._stop.set()

    def request_reload(self) -> None:
        """Reload the settings; called on SIGHUP."""
        self._reload('signal')

    async def run(self, settings_source: str) -> None:
        """Serve until a planned stop has ended."""
        self._settings_source = settings_source
        self._add_signal_handlers()
        readiness_server = await self._open()
        self.events.emit(
            'started',
            failure_domain=self.settings.failure_domain,
            data_address=self.settings.data_address,
            store=self.settings.store.address,
            link_mbps=self.settings.link_mbps,
            seeds=list(self.settings.peers.seeds),
        )
        self._tasks.append(asyncio.create_task(self._read_when_informed()))
        works = [
            self._run_heartbeats,
            self.reader.run_configuration,
            self.reader.run_upstreams,
            self._run_sweeps,
            self._run_flushes,
            self._run_settings_watch,
        ]
        if self.evacuations is not None:
            works.append(self.reader.run_evacuations)
        for work in works:
            self._tasks.append(asyncio.create_task(self._supervise(work)))
        operator_server = http.PageServer(
            self._make_pages(self), self._report_page_error
        )
        await operator_server.open(
            addresses.parse_address(self.settings.operator_address)
        )
        await self._stop.wait()
        await self._leave()
        for task in self._tasks:
            task.cancel()
        readiness_server.close()
        operator_server.close()
        self.events.emit('stopped', counters=self._list_counts())
        self.events.flush()

    async def _open(self) -> http.PageServer:
        if self._data_socket is None:
            bound = sockets.bind_socket(self._address)
        else:
            bound = self._data_socket.socket
        self._data = sockets.UdpSocket(
            bound,
            self._receive_packet,
            self._report_socket_error,
            self._pauses.note_drained,
        )
        peer_address = addresses.Address(
            self._address.host, self.settings.peers.port
        )
        self._peers = sockets.UdpSocket(
            sockets.bind_socket(peer_address),
            self._receive_peer_message,
            self._report_socket_error,
        )
        self._peers.start_reading()
        readiness_server = http.PageServer(
            self._handle_readiness, self._report_page_error
        )
        await readiness_server.open(
            addresses.parse_address(self.settings.readiness.address)
        )
        return readiness_server

    def _add_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.request_reload)

    async def _wait_for_others(self, latest: float) -> None:
        """Stay in the rotation until enough VMs of the domain are ready."""
        delayed = False
        while self.read_time() < latest:
            others, ready = self.members.count_ready(
                self.settings.failure_domain, self.read_time()
            )
            if stops.may_leave(others=others, ready=ready):
                return
            if not delayed:
                delayed = True
                self.events.emit(
                    'stop_delayed', other_vms=others, ready_vms=ready
                )
            await asyncio.sleep(STOP_POLL_S)

    async def _leave(self) -> None:
        """Leave the rotation, and forward as long as packets arrive."""
        ends_at = self.read_time() + self.settings.stop.grace_s
        await self._wait_for_others(
            ends_at - STOP_RESERVE_S - ROTATION_EXIT_S - QUIET_S
        )
        began_at = self.read_time()
        self.stopping = True
        self.gossip.ready = False
        self.events.emit('stopping', grace_s=self.settings.stop.grace_s)
        latest = ends_at - STOP_RESERVE_S
        earliest = began_at + ROTATION_EXIT_S
        while self.read_time() < latest:
            await asyncio.sleep(STOP_POLL_S)
            now = self.read_time()
            if now > earliest and now - self._received_at > QUIET_S:
                break

    async def _supervise(
        self, work: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Run a task, and restart it if it fails unexpectedly."""
        while True:
            try:
                await work()
            except Exception as exc:  # noqa: B902 - other tasks must go on
                self.events.emit(
                    'task_failed', task=work.__name__, why=repr(exc)
                )
                await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def _read_when_informed(self) -> None:
        """Start reading packets once the VM knows how to handle them."""
        while not self._is_informed():
            if self.read_age(self._started_at) > INFORMED_MAX_S:
                break
            await asyncio.sleep(INFORMED_POLL_S)
        self._data.start_reading()

    def _is_informed(self) -> bool:
        if not self.routes.version or not self.catalogue.revision:
            return False
        if self.gossip.awaits_places(self.read_time()):
            return False
        if self.evacuations is None or self.evacuations.known:
            return True
        return self.read_age(self._started_at) > UNCONFIRMED_MAX_S

    async def _run_heartbeats(self) -> None:
        was_ready = False
        while True:
            now = self._note_running()
            ready = self.is_ready()
            if ready != was_ready:
                self._log_readiness(ready)
                was_ready = ready
            self.gossip.ready = ready
            if ready and self.evacuations is not None:
                self.evacuations.note_serving(now)
            seeds = [
                addresses.parse_address(seed).host
                for seed in self.settings.peers.seeds
            ]
            seeds = [host for host in seeds if host != self._address.host]
            self.gossip.send_heartbeats(seeds, now)
            await asyncio.sleep(
                members_module.HEARTBEAT_INTERVAL_S
                if self._is_informed()
                else JOIN_INTERVAL_S
            )

    def _note_running(self) -> float:
        """Return the time, and log a pause that has just ended."""
        now = self.read_time()
        paused_s = self._pauses.note_running(now)
        if paused_s:
            self.events.emit('paused', for_s=round(paused_s, 3))
        return now

    def _log_readiness(self, ready: bool) -> None:
        self.events.emit(
            'ready' if ready else 'not_ready',
            configuration=self.routes.version,
            configuration_age_s=round(
                self.read_age(self.routes.confirmed_at), 3
            ),
            catalogue_revision=self.catalogue.revision,
            catalogue_age_s=round(
                self.read_age(self.catalogue.confirmed_at), 3
            ),
            since_start_s=round(self.read_age(self._started_at), 3),
        )

    async def _run_sweeps(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.read_time()
            self.forwarder.expire(now)
            self.gossip.expire_members(now)
            if self.evacuations is not None:
                self.evacuations.expire(now)
            for upstream in self.catalogue.expire(now):
                self.events.emit(
                    'lapse_ended',
                    upstream=upstream.upstream_id,
                    catalogue_revision=self.catalogue.revision,
                )
            self._update_slow_start(now)

    def _limit_restored(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> None:
        """Treat the upstreams of a restored failure domain as cold.

        They may have become cold without their entries saying so yet.
        """
        current = self.routes.current
        if self.slow_start is None or current is None:
            return
        for state in states:
            service = current.services.get(state.upstream.service)
            cold_s = 0.0 if service is None else service.cold_start_s
            self.slow_start.mark_cold(
                state, now + cold_s + slow_start_module.ENTRY_DELAY_S
            )

    def _update_slow_start(self, now: float) -> None:
        current = self.routes.current
        if self.slow_start is None or current is None:
            return
        # Also called without openings, so that the view notices pauses.
        self.fleet.list_live_ids(now)
        self.slow_start.update(
            self.catalogue.list_states(), now, current.services
        )

    async def _run_flushes(self) -> None:
        await asyncio.sleep(LOG_DELAY_S)
        # The launcher disables collections; what exists by now stays.
        gc.freeze()
        gc.enable()
        await asyncio.to_thread(self.events.prepare)
        while True:
            self.events.flush()
            await asyncio.sleep(FLUSH_INTERVAL_S)

    async def _run_settings_watch(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self._reload('change')

    def _reload(self, cause: str) -> None:
        """Apply changed settings, or keep the old ones if they are invalid."""
        try:
            source = settings_module.read_source(self._settings_path)
            if source == self._settings_source and cause != 'signal':
                return
            self._settings_source = source
            loaded = settings_module.parse_settings(source)
        except errors.SettingsError as exc:
            self.counters[_Count.RELOAD_FAILED] += 1
            self.events.emit(
                'reload_failed', cause=cause, code=exc.code, why=str(exc)
            )
            return
        need_restart = [
            name
            for name in (
                'vm_id',
                'failure_domain',
                'data_address',
                'evacuation',
                'cold_start',
                'uneven_upstreams',
            )
            if getattr(loaded, name) != getattr(self.settings, name)
        ]
        store_moved = loaded.store != self.settings.store
        self.settings = loaded
        self.counters[_Count.RELOADED] += 1
        if store_moved:
            self.reader.replace_store(self._platform.open_store(loaded.store))
        self.events.emit(
            'reloaded',
            cause=cause,
            store_moved=store_moved,
            need_restart=need_restart,
        )

    async def _handle_readiness(self, method: str, path: str) -> http.Page:
        if path != self.settings.readiness.path:
            return http.Page(404)
        return http.Page(200 if self.is_ready() else 503)

    def _receive_packet(self, data: bytes, host: str) -> None:
        now = self._note_running()
        self._received_at = now
        self.forwarder.receive(data, now, waited=self._pauses.backlog)

    def _receive_peer_message(self, data: bytes, host: str) -> None:
        self.gossip.receive(data, host, self._note_running())

    def _send_packet(self, data: bytes, sockaddr: tuple[str, int]) -> None:
        if not self._data.send(data, sockaddr):
            self.counters[_Count.DROPPED_SEND] += 1

    def _send_to_client(self, data: bytes, key: packets.FlowKey) -> None:
        client = packets.format_host(key[0])
        self._send_packet(data, (client, self._address.port))

    def _request_tag(self, tag: int, now: float) -> None:
        self.gossip.request_removed(now)

    def _announce_places(
        self, places: tuple[packets.FlowPlace, ...], now: float
    ) -> int:
        return self.gossip.announce_places(places, now)

    def _send_to_peer(self, data: bytes, host: str) -> None:
        if not self._peers.send(data, (host, self.settings.peers.port)):
            self.counters[_Count.DROPPED_SEND] += 1

    def _report_socket_error(self, exc: Exception) -> None:
        self.events.emit('datagram_failed', why=repr(exc))

    def _report_page_error(self, exc: Exception) -> None:
        self.events.emit('page_failed', why=repr(exc))

    def _list_counts(self) -> dict[str, int]:
        return {
            count.name.lower(): self.counters[count]
            for count in _Count
            if self.counters[count]
        }


async def run_node(
    settings: settings_module.Settings,
    *,
    settings_path: str,
    settings_source: str,
    platform: hooks.TaggedPlatform,
    clock: hooks.Clock,
    make_pages: MakePages,
    data_socket: sockets.BoundSocket | None = None,
) -> None:
    """Run a VM until its planned stop.

    Raises ``OSError`` for an address that can't be bound.
    """
    node = Node(
        settings,
        settings_path=settings_path,
        platform=platform,
        clock=clock,
        source=random.Random(),
        make_pages=make_pages,
        data_socket=data_socket,
    )
    await node.run(settings_source)
