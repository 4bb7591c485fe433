"""An entry VM: its components, tasks, start and planned stop."""

import asyncio
import typing

from loguru import logger
import pluggy

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven.tracking import built_in
from _savoryhaven.tracking import configuration
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import copies
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import detector
from _savoryhaven.tracking import handovers
from _savoryhaven.tracking import joining
from _savoryhaven.tracking import membership
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import offers
from _savoryhaven.tracking import peers as peers_module
from _savoryhaven.tracking import received
from _savoryhaven.tracking import reports
from _savoryhaven.tracking import router
from _savoryhaven.tracking import settings as settings_module

SWEEP_INTERVAL_S = 0.2
SWEEP_FLOWS = 5_000
OVERDUE_CHECK_INTERVAL_S = 0.05
LOAD_REPORT_INTERVAL_S = 1.0
# Random peers that get each load report.
LOAD_REPORT_PEERS = 16
LOADS_PER_DATAGRAM = 100

# Delay before a failed task is restarted.
RESTART_DELAY_S = 1.0

_Count = counters.Count

TaskFunction = typing.Callable[[], typing.Awaitable[None]]


class Vm:
    """One entry VM. ``run`` returns after the planned stop."""

    def __init__(
        self,
        settings: settings_module.Settings,
        manager: pluggy.PluginManager,
    ) -> None:
        self.settings: typing.Final = settings
        hook = manager.hook
        self.context: typing.Final = context_module.build_context(
            settings,
            clock=hook.savoryhaven_clock(),
            source=hook.savoryhaven_random(settings=settings),
            protocols=built_in.list_protocols(manager),
        )
        context = self.context
        transport = hook.savoryhaven_transport(settings=settings)
        client = hook.savoryhaven_platform(settings=settings.platform)
        self._transport: hooks.Transport = transport
        self._client: hooks.Platform = client
        self._fabric = addresses.parse_address(settings.fabric_address)
        self._data_socket: hooks.DatagramSocket | None = None
        self._stopping = asyncio.Event()
        self._peers = peers_module.Peers(
            context, transport, self._receive_datagram, self._handle
        )
        self._offers = offers.Offers(context, self._peers.send)
        self._router = router.Router(context, self)
        self._copier = copies.Copier(context, self._send_copies)
        self._receiver = received.Receiver(context)
        self.configuration: typing.Final = configuration.Configuration(
            context,
            client,
            self._peers.send,
            self._peers.request,
            self._probe_address,
        )
        self._handovers = handovers.Handovers(
            context,
            self._copier,
            self._receiver,
            self.configuration,
            self._peers.request,
            self._router.release_held,
        )
        self._joining = joining.Joining(
            context, self.configuration, self._peers.request_at
        )
        self._detector = detector.Detector(
            context, self._peers.send, self.configuration.note_knowledge
        )
        self._collector = reports.LoadReportCollector(context)
        context.members.add_listener(self._note_event)

    def _probe_address(self, peer_address: str) -> None:
        self._peers.send_to(peer_address, self._detector.make_probe())

    def request_stop(self) -> None:
        """Start the planned stop."""
        self._stopping.set()

    async def run(self) -> None:
        """Join, serve until a stop is requested, and stop as planned.

        Raises ``OSError`` when an address is taken.
        """
        try:
            await self._peers.open()
            await self._joining.run(self._stopping)
            self._data_socket = await self._transport.open_datagrams(
                addresses.parse_address(self.settings.data_address),
                self._router.receive_from_fabric,
            )
            self._start_serving()
            logger.info(
                '{} serving with generation {}',
                self.context.vm_id,
                self.context.routing.generation,
            )
            await self._serve()
        finally:
            await self._close()

    def _start_serving(self) -> None:
        """Start to forward packets."""
        self.context.local_health.restart(self.context.clock.read_monotonic())
        self.context.serving = True
        self._handovers.require_all()
        self._router.release_held()

    async def _serve(self) -> None:
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(_run_restarting(task_function))
                for task_function in self._list_tasks()
            ]
            await self._stopping.wait()
            await self._stop()
            for task in tasks:
                task.cancel()

    def _list_tasks(self) -> list[TaskFunction]:
        optional: list[TaskFunction] = []
        if self.settings.platform.evacuation:
            optional.append(self.configuration.run_evacuation_watch)
        return [
            *optional,
            self._detector.run_heartbeat,
            self._detector.run_probes,
            self.configuration.run_document_watch,
            self.configuration.run_document_polls,
            self.configuration.run_list_polls,
            self.configuration.run_slow_list_polls,
            self.configuration.run_fetches,
            self._copier.run,
            self._offers.run,
            self._collector.run,
            self._run_sweeps,
            self._run_overdue_checks,
            self._run_load_reports,
        ]

    async def _close(self) -> None:
        if self._data_socket is not None:
            self._data_socket.close()
        await self._peers.close()
        await self._client.close()

    async def _stop(self) -> None:
        """Hand over all flows, relay late packets for a while and leave."""
        context = self.context
        logger.info('{} is leaving', context.vm_id)
        now = context.clock.read_monotonic()
        context.members.mark_leaving(now)
        try:
            async with asyncio.timeout(self.settings.stop.timeout_s):
                self._announce_state()
                await self._handovers.hand_over_all()
                await asyncio.sleep(self.settings.stop.linger_s)
        except TimeoutError:
            logger.error('SH405: planned stop timed out; leaving now')
        context.members.mark_dead(context.clock.read_monotonic())
        self._announce_state()

    def _announce_state(self) -> None:
        """Send a probe with this VM's state to all peers."""
        for member in self.context.members.list_peers():
            self._detector.send_probe(member.vm_id)

    def _receive_datagram(self, message: messages.Message) -> None:
        match message:
            case messages.Relay():
                self._router.receive_relay(message)
            case messages.CopyOffer():
                self._peers.send(
                    message.vm_id, self._receiver.store_offer(message)
                )
            case messages.CopyAck():
                self._offers.acknowledge(message)
            case messages.LoadReport():
                self._store_load_report(message)
            case messages.Announcement(sender, knowledge):
                now = self.context.clock.read_monotonic()
                self.context.members.merge(sender, now)
                self.configuration.note_knowledge(sender.vm_id, knowledge)
            case _:
                self._detector.receive(message)

    def _store_load_report(self, report: messages.LoadReport) -> None:
        loads = self.context.loads
        now = self.context.clock.read_monotonic()
        loads.note_peer_flows(report.vm_id, report.flows, now)
        for endpoint in report.answered_upstreams:
            loads.note_remote_answer(endpoint, now)
        for endpoint, utilisation in report.utilisations.items():
            loads.note_report(endpoint, utilisation, now)

    async def _handle(self, message: messages.Message) -> messages.Message:
        """Return the response to a message received over a websocket."""
        now = self.context.clock.read_monotonic()
        match message:
            case messages.Fetch(sender):
                if not message.joining:
                    self.context.members.merge(sender, now)
                return self.configuration.answer_fetch(message)
            case messages.Claim(sender):
                return await self._handovers.answer_claim(message, now)
            case messages.FlowCopies():
                return await self._handovers.receive_copies(message)
        raise errors.PeerError(
            errors.Problem(
                code='SH401',
                message=f'unexpected message: {type(message).__name__}',
            )
        )

    async def _send_copies(
        self, vm_id: str, message: messages.FlowCopies
    ) -> messages.FlowCopiesAck:
        return await self._peers.request(vm_id, message)

    def send_to_fabric(self, raw: bytes) -> None:
        """Send a packet to the fabric."""
        self._data_socket.send(raw, self._fabric)

    def send_relay(self, vm_id: str, relay: messages.Relay) -> None:
        """Relay a packet to another VM."""
        self._peers.send(vm_id, relay)

    def offer_copy(
        self,
        vm_id: str,
        record: messages.FlowRecord | messages.TombstoneRecord,
        on_acknowledged: typing.Callable[[], None],
    ) -> bool:
        """Copy a record to a VM; returns False if too many are pending."""
        return self._offers.offer(vm_id, record, on_acknowledged)

    def request_claim(self, vm_id: str) -> None:
        """Request a handover of flows from a former owner."""
        self._handovers.request_claim(vm_id)

    def _note_event(self, event: membership.Event, now: float) -> None:
        context = self.context
        match event:
            case membership.Joined(record, returned=returned):
                logger.info('{} joined', record.vm_id)
                if not returned:
                    context.former_owners.reset_peer(record.vm_id)
                # It may have served on its own before joining, so its flows in
                # this VM's buckets are claimed whether it is new or returned.
                context.former_owners.require_handover(record.vm_id)
            case membership.Departed(record):
                logger.info(
                    '{} is {}', record.vm_id, record.state.name.lower()
                )
                if record.state is messages.MemberState.LEAVING:
                    context.former_owners.require_handover(record.vm_id)
                elif not context.former_owners.is_complete(record.vm_id):
                    self._handovers.abandon_claim(record.vm_id)
            case membership.DeclaredDead():
                self._handle_declared_dead(now)
            case membership.Superseded():
                logger.error('SH406: another process uses the same VM name')
                self._stopping.set()

    def _handle_declared_dead(self, now: float) -> None:
        """Handle that peers declared this VM dead.

        If other peers confirmed it throughout, it was only partitioned from
        some, and its state is valid. Otherwise it rejoins without state.
        """
        context = self.context
        if context.local_health.is_confirmed(now, has_peers=True):
            return
        logger.warning(
            'declared dead while paused or partitioned; '
            'rejoining without state'
        )
        context.flows.clear()
        context.loads.own_flows.clear()
        context.former_owners.reset()
        self._router.reset()
        self._offers.reset()
        context.members.rejoin(context.clock.read_epoch_ms(), now)
        self._handovers.require_all()

    async def _run_sweeps(self) -> None:
        """Expire flows and refusals in batches."""
        context = self.context
        pruned_version = 0
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = context.clock.read_monotonic()
            idle = context.flows.take_idle(
                now, context.get_idle_timeout, SWEEP_FLOWS
            )
            for service, key, flow in idle:
                context.counters[_Count.EXPIRED] += 1
                context.uncount_flow(flow)
                if flow.pinned and not flow.copied_from:
                    # Its copies have to be removed as well.
                    context.unreplicated_flows.append((service, key))
            context.tombstones.expire(now)
            if pruned_version != context.members.version:
                pruned_version = context.members.version
                known = {m.vm_id for m in context.members.list_members()}
                context.former_owners.keep_peers(known)
                self._copier.keep_peers(known)

    async def _run_overdue_checks(self) -> None:
        """Abandon overdue claims and process all held packets again."""
        context = self.context
        while True:
            await asyncio.sleep(OVERDUE_CHECK_INTERVAL_S)
            now = context.clock.read_monotonic()
            overdue = context.former_owners.list_overdue(now)
            for vm_id in overdue:
                self._handovers.abandon_claim(vm_id)
            self._router.release_held()

    async def _run_load_reports(self) -> None:
        """Send load reports to random peers."""
        context = self.context
        while True:
            await asyncio.sleep(LOAD_REPORT_INTERVAL_S)
            largest = context.loads.own_flows.most_common(LOADS_PER_DATAGRAM)
            counts = {endpoint: count for endpoint, count in largest if count}
            answered_upstreams = context.loads.take_responded()[
                :LOADS_PER_DATAGRAM
            ]
            utilisations = self._collector.take_utilisations()
            if not (counts or answered_upstreams or utilisations):
                continue
            peers = context.members.list_peers()
            chosen = context.random.sample(
                peers, min(len(peers), LOAD_REPORT_PEERS)
            )
            report = messages.LoadReport(
                context.vm_id, counts, answered_upstreams, utilisations
            )
            for peer in chosen:
                self._peers.send(peer.vm_id, report)


async def _run_restarting(task_function: TaskFunction) -> None:
    """Run a task of a VM and restart it if it fails.

    A failing task must not end the VM, which has open flows.
    """
    while True:
        try:
            await task_function()
        except Exception as exc:
            logger.exception(
                'SH408: {} failed: {}', task_function.__name__, exc
            )
            await asyncio.sleep(RESTART_DELAY_S)
