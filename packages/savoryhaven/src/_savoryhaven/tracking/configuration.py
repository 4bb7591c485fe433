"""Distribution of the routing document and the VM list between VMs.

In each failure domain a few VMs read the platform. A new version is announced
to some peers, and every probe carries the sender's version; a VM that is
behind fetches the sections it lacks from a peer that is ahead. Versions never
go back: an older generation is ignored, an invalid document is refused and
reported.
"""

import asyncio
import math
import typing

from loguru import logger

from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven.tracking import changes
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import document
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import ownership
from _savoryhaven.tracking import placement
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import routing

READERS_PER_DOMAIN = 2
# Seeds the hash that ranks the VMs of a domain as readers.
READER_SALT = 1
# Each VM that adopts a document announces it to ln(n) peers plus this number,
# so that hardly any VM has to wait for its next probe to learn of it.
ANNOUNCE_EXTRA_PEERS = 4
# Interval at which a VM checks whether it has become a reader.
READER_CHECK_INTERVAL_S = 0.5
# VMs that aren't readers read the list at this longer interval, to find out
# which domains are gone.
SLOW_LIST_INTERVAL_S = 30.0
# A watch can hang without an error, so the document is also polled.
DOCUMENT_POLL_INTERVAL_S = 1.0
# Listed VMs that a starting VM introduces itself to. One of them may be dead
# and one may be starting too; the third then connects both starting VMs.
INTRODUCTION_PEERS = 3
# Evacuations are watched for this long, then read without a wait, as a watch
# may be silent. With both, a change is known within 5 s, for one call in 2 s.
EVACUATIONS_WATCH_S = 4.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
# A failure domain without VMs on the platform's list counts as gone after
# this time. By then no retransmission of a request that it ran can arrive.
DOMAIN_GONE_AFTER_S = 250.0

_Count = counters.Count


class Configuration:
    """Keeps the routing document and the VM list of one VM up to date."""

    def __init__(
        self,
        context: context_module.Context,
        client: hooks.Platform,
        send: typing.Callable[[str, messages.Message], None],
        request: typing.Callable[
            [str, messages.Message], typing.Awaitable[messages.Message]
        ],
        probe_address: typing.Callable[[str], None],
    ) -> None:
        self._context: typing.Final = context
        self._client: typing.Final = client
        self._send: typing.Final = send
        self._request: typing.Final = request
        self._probe_address: typing.Final = probe_address
        self._version = ''
        self._fetch_source: str | None = None
        self._fetch_needed = asyncio.Event()
        self._seen_domains: set[str] = set()
        self._domain_empty_since: dict[str, float] = {}
        self.refused = ''

    def is_reader(self) -> bool:
        """Return whether this VM reads the platform for its domain."""
        return ownership.is_first_of_domain(
            self._context.members, READER_SALT, READERS_PER_DOMAIN
        )

    async def run_document_watch(self) -> None:
        """Watch the document while this VM is a reader."""
        await self._run_reader(self._watch)

    async def run_document_polls(self) -> None:
        """Poll the document as a reader, in case a watch hangs."""
        await self._run_reader(self._poll_document)

    async def run_list_polls(self) -> None:
        """Poll the VM list while this VM is a reader."""
        await self._run_reader(self._read_list)

    async def run_slow_list_polls(self) -> None:
        """Poll the VM list less often while this VM is not a reader."""
        while True:
            await asyncio.sleep(
                SLOW_LIST_INTERVAL_S * self._context.random.uniform(0.5, 1.5)
            )
            if self.is_reader():
                continue
            self._context.counters[_Count.PLATFORM_CALLS] += 1
            try:
                revision, vms = await self._client.list_vms()
            except errors.PlatformError:
                self._context.counters[_Count.PLATFORM_FAILED] += 1
                continue
            self._process_list(revision, vms)

    async def run_evacuation_watch(self) -> None:
        """Watch the evacuated failure domains while this VM is a reader."""
        await self._run_reader(self._watch_evacuations)

    async def _run_reader(
        self, step: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        retry_s = RETRY_MIN_S
        while True:
            if not self.is_reader():
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
                continue
            self._context.counters[_Count.PLATFORM_CALLS] += 1
            try:
                await step()
                retry_s = RETRY_MIN_S
                self._set_platform_reachable(True)
            except errors.PlatformError as exc:
                self._context.counters[_Count.PLATFORM_FAILED] += 1
                self._set_platform_reachable(False, str(exc))
                await asyncio.sleep(
                    retry_s * self._context.random.uniform(0.5, 1.0)
                )
                retry_s = min(RETRY_MAX_S, retry_s * 2)

    def _set_platform_reachable(
        self, reachable: bool, reason: str = ''
    ) -> None:
        if reachable == self._context.platform_reachable:
            return
        self._context.platform_reachable = reachable
        if reachable:
            logger.info('the platform is reachable again')
        else:
            logger.warning('the platform is not reachable: {}', reason)

    async def _watch(self) -> None:
        wait_s = self._context.settings.platform.watch_s
        found = await self._client.watch_object(
            platform.DOCUMENT_KIND,
            platform.DOCUMENT_NAME,
            self._version,
            wait_s,
        )
        if found is None and not self._version:
            await asyncio.sleep(RETRY_MIN_S)
        self._process_object(found)

    async def _poll_document(self) -> None:
        await asyncio.sleep(DOCUMENT_POLL_INTERVAL_S)
        await self.read_now()

    async def read_now(self) -> None:
        """Read the document; raises ``PlatformError``."""
        found = await self._client.watch_object(
            platform.DOCUMENT_KIND, platform.DOCUMENT_NAME, self._version, 0.0
        )
        self._process_object(found)

    async def _watch_evacuations(self) -> None:
        known = self._context.routing.evacuations_revision
        found = await self._client.watch_objects(
            platform.EVACUATIONS_KIND, known, EVACUATIONS_WATCH_S
        )
        if found is None:
            self._context.counters[_Count.PLATFORM_CALLS] += 1
            await self.read_evacuations_now()
        elif found.revision > known:
            self._process_evacuations(found)
        else:
            # The platform does not know the kind, or answers with older state.
            await asyncio.sleep(EVACUATIONS_WATCH_S)

    async def read_evacuations_now(self) -> None:
        """Read the evacuated domains; raises ``PlatformError``."""
        self._process_evacuations(
            await self._client.list_objects(platform.EVACUATIONS_KIND)
        )

    def _process_evacuations(self, found: hooks.ObjectNames) -> None:
        self.update_evacuated(found.revision, frozenset(found.names))

    def update_evacuated(self, revision: int, domains: frozenset[str]) -> None:
        """Apply the evacuated failure domains of a newer revision."""
        routing_state = self._context.routing
        if revision <= routing_state.evacuations_revision:
            return
        if routing_state.set_evacuated(revision, domains):
            logger.info(
                'evacuated failure domains changed to {}', sorted(domains)
            )
        self.announce()

    def _process_object(self, found: hooks.StoredObject | None) -> None:
        if found is None or found.version == self._version:
            return
        self._version = found.version
        try:
            loaded = document.load_document(found.value)
        except errors.DocumentError as exc:
            self._report_refusal(f'platform version {found.version}', exc)
            return
        self.offer_document(loaded, f'platform version {found.version}')

    def offer_document(self, offered: document.Document, source: str) -> bool:
        """Adopt a document if it is newer and valid; return success."""
        context = self._context
        now = context.clock.read_monotonic()
        try:
            outcome = context.routing.adopt(offered, now)
        except errors.DocumentError as exc:
            self._report_refusal(source, exc)
            return False
        match outcome:
            case routing.Ignored(generation):
                if generation < context.routing.generation:
                    context.counters[_Count.DOCUMENT_STALE] += 1
                return False
            case routing.Adopted():
                self._apply_adoption(outcome, now)
        logger.info(
            'adopted generation {} from {}', offered.generation, source
        )
        self.announce()
        return True

    def _report_refusal(self, source: str, exc: errors.DocumentError) -> None:
        """Report an invalid document; the last valid one stays in force."""
        self._context.counters[_Count.DOCUMENT_REFUSED] += 1
        self.refused = f'{source}: {exc}'
        logger.error('refused the document from {}: {}', source, exc)

    def _apply_adoption(self, adopted: routing.Adopted, now: float) -> None:
        context = self._context
        self.refused = ''
        context.counters[_Count.DOCUMENT_ADOPTED] += 1
        context.owners.clear_cache()
        context.admission.keep_services(adopted.tables.by_name)
        for name in adopted.changed:
            table = adopted.tables.by_name.get(name)
            previous = table and context.routing.find_previous(table)
            if previous is None:
                continue
            self._update_upstream_loads(table, previous, now)
            self._require_handovers(name)

    def _update_upstream_loads(
        self,
        table: placement.ServiceTable,
        previous: placement.ServiceTable,
        now: float,
    ) -> None:
        """Start the ramp-up of new upstreams, and drop removed ones."""
        loads = self._context.loads
        for address in table.by_address.keys() - previous.by_address.keys():
            loads.note_usable(address, now)
        for address in previous.by_address.keys() - table.by_address.keys():
            loads.forget(address)

    def _require_handovers(self, service: str) -> None:
        """Require handovers of buckets that the new table moved here."""
        context = self._context
        for member in context.members.list_peers():
            context.former_owners.require_handover(member.vm_id, service)

    async def _read_list(self) -> None:
        interval_s = self._context.settings.platform.list_interval_s
        await asyncio.sleep(interval_s)
        revision, vms = await self._client.list_vms()
        self._process_list(revision, vms)

    def _process_list(
        self, revision: int, vms: list[hooks.PlatformVm]
    ) -> None:
        now = self._context.clock.read_monotonic()
        leaving = frozenset(
            vm.address
            for vm in vms
            if vm.role == 'upstream' and vm.state == 'leaving'
        )
        self._update_gone_domains(vms, now)
        self._probe_unknown_vms(vms)
        self.update_leaving(revision, leaving)

    def _probe_unknown_vms(self, vms: list[hooks.PlatformVm]) -> None:
        """Probe listed VMs that are not members; seeds may have failed."""
        known = {
            member.record.peer_address
            for member in self._context.members.list_members()
        }
        for vm in vms:
            if vm.role == 'entry' and vm.address not in known:
                self._probe_address(vm.address)

    async def list_introduction_addresses(self) -> list[str]:
        """Return the listed VMs that a starting VM introduces itself to.

        The list is empty if the platform is unreachable; the VM then joins
        through its seeds alone.
        """
        me = self._context.members.me
        self._context.counters[_Count.PLATFORM_CALLS] += 1
        try:
            _, vms = await self._client.list_vms()
        except errors.PlatformError as exc:
            self._context.counters[_Count.PLATFORM_FAILED] += 1
            logger.warning('joining without the VM list: {}', exc)
            return []
        listed = sorted(vm.address for vm in vms if vm.role == 'entry')
        others = [address for address in listed if address != me.peer_address]
        return others[:INTRODUCTION_PEERS]

    def _update_gone_domains(
        self, vms: list[hooks.PlatformVm], now: float
    ) -> None:
        """Find domains whose entry VMs have all left the VM list."""
        listed = {vm.failure_domain for vm in vms if vm.role == 'entry'}
        self._seen_domains |= listed
        for domain in listed:
            self._domain_empty_since.pop(domain, None)
        gone = set()
        for domain in self._seen_domains - listed:
            since = self._domain_empty_since.setdefault(domain, now)
            if now - since >= DOMAIN_GONE_AFTER_S:
                gone.add(domain)
        self._context.owners.set_gone_domains(frozenset(gone))

    def update_leaving(self, revision: int, leaving: frozenset[str]) -> None:
        """Apply the leaving upstreams of a newer VM list."""
        context = self._context
        if revision <= context.routing.list_revision:
            return
        differing = context.routing.set_leaving(revision, leaving)
        if differing:
            logger.info('leaving upstreams changed to {}', sorted(leaving))
        self.announce()

    def announce(self) -> None:
        """Announce the versions known here to some random peers.

        A VM that is still joining announces nothing, because the receiver
        would add it to the members and take it for an owner.
        """
        context = self._context
        if not context.serving:
            return
        peers = context.members.list_peers()
        announcement = messages.Announcement(
            context.members.me, context.get_knowledge()
        )
        wanted = ANNOUNCE_EXTRA_PEERS + math.ceil(math.log(len(peers) + 1))
        count = min(len(peers), wanted)
        for peer in context.random.sample(peers, count):
            self._send(peer.vm_id, announcement)

    def is_behind(self, knowledge: messages.Knowledge) -> bool:
        """Return whether a peer has newer versions."""
        routing_state = self._context.routing
        return (
            knowledge.generation > routing_state.generation
            or knowledge.list_revision > routing_state.list_revision
            or knowledge.evacuations_revision
            > routing_state.evacuations_revision
        )

    def note_knowledge(
        self, vm_id: str, knowledge: messages.Knowledge
    ) -> None:
        """Schedule a fetch from a peer if it is ahead."""
        if self.is_behind(knowledge):
            self._fetch_source = vm_id
            self._fetch_needed.set()

    async def run_fetches(self) -> None:
        """Fetch from peers that are ahead, until cancelled."""
        while True:
            await self._fetch_needed.wait()
            self._fetch_needed.clear()
            vm_id = self._fetch_source
            try:
                await self.fetch_from(vm_id)
            except errors.SavoryhavenError as exc:
                logger.debug('fetch from {} failed: {}', vm_id, exc)

    async def fetch_from(self, vm_id: str, *, members: bool = False) -> None:
        """Fetch newer versions; raises ``PeerError`` if that fails."""
        fetch = self._make_fetch(members=members)
        self.apply_update(await self._request(vm_id, fetch), vm_id)

    def _make_fetch(
        self, *, members: bool, joining: bool = False
    ) -> messages.Fetch:
        context = self._context
        return messages.Fetch(
            context.members.me,
            context.routing.generation,
            context.routing.list_revision,
            members,
            joining,
            context.routing.evacuations_revision,
        )

    def make_join(self) -> messages.Fetch:
        """Return a fetch for members and document, from a joining VM."""
        return self._make_fetch(members=True, joining=True)

    def make_introduction(self) -> messages.Fetch:
        """Return the same fetch, from a VM that is about to own buckets."""
        return self._make_fetch(members=True)

    def apply_update(self, update: messages.Message, source: str) -> None:
        """Apply a peer's answer to a fetch.

        Raises ``DocumentError`` ``SH209`` when sections are missing.
        """
        if not isinstance(update, messages.Update):
            return
        context = self._context
        now = context.clock.read_monotonic()
        for record in update.members:
            context.members.merge(record, now)
        if update.change is not None:
            tables = context.routing.tables
            base = tables.document if tables else None
            merged = changes.merge_change(base, update.change)
            self.offer_document(merged, f'peer {source}')
        self.update_evacuated(
            update.evacuations_revision, frozenset(update.evacuated_domains)
        )
        if update.list_revision > context.routing.list_revision:
            context.owners.set_gone_domains(frozenset(update.gone_domains))
            self.update_leaving(
                update.list_revision, frozenset(update.leaving)
            )

    def answer_fetch(self, fetch: messages.Fetch) -> messages.Update:
        """Return the parts that are newer than those of a peer."""
        context = self._context
        state = context.routing
        change = None
        if state.generation > fetch.generation:
            change = changes.extract_change(
                state.tables.document, fetch.generation
            )
        members: tuple[messages.MemberRecord, ...] = ()
        if fetch.members:
            members = tuple(m.record for m in context.members.list_members())
        return messages.Update(
            change,
            state.list_revision,
            tuple(sorted(state.listed_leaving)),
            tuple(sorted(context.owners.gone_domains)),
            members,
            state.evacuations_revision,
            tuple(sorted(state.evacuated_domains)),
        )
