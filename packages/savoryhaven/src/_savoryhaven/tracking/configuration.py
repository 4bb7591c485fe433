"""How the document and the list of VMs reach this VM and its peers.

In each failure domain a few VMs read the platform. What is new is announced
to some peers and mentioned on every probe; a VM that is behind fetches the
sections it lacks from whoever is ahead. Nothing is ever taken back: an older
generation is ignored, an invalid document is refused and reported.
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
READER_SALT = 1
# Each VM that adopts a document announces it to ln(n) peers and so many more,
# which leaves hardly any VM to learn of it by its next probe only.
ANNOUNCE_PEERS = 4
# How often a VM looks whether it has become a reader.
READER_CHECK_S = 0.5
# VMs that are no readers look at the list this seldom, to learn which
# domains are gone.
SLOW_LIST_INTERVAL_S = 30.0
# A watch can go silent, so the document is also read at this interval.
READ_INTERVAL_S = 1.0
# Listed VMs that a starting one introduces itself to: one may be dead and
# one just starting, and the third brings them together.
MEETING_POINTS = 3
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
# A failure domain without VMs on the platform's list counts as gone after
# this time, when no copy of a request that it ran can arrive any more.
GONE_AFTER_S = 250.0

_Count = counters.Count


class Configuration:
    """Keeps the document and the list of VMs of one VM up to date."""

    def __init__(
        self,
        context: context_module.Context,
        client: hooks.Platform,
        send: typing.Callable[[str, messages.Message], None],
        request: typing.Callable[
            [str, messages.Message], typing.Awaitable[messages.Message]
        ],
        meet: typing.Callable[[str], None],
    ) -> None:
        self._context: typing.Final = context
        self._client: typing.Final = client
        self._send: typing.Final = send
        self._request: typing.Final = request
        self._meet: typing.Final = meet
        self._version = ''
        self._ahead: str | None = None
        self._wake = asyncio.Event()
        self._seen_domains: set[str] = set()
        self._empty_since: dict[str, float] = {}
        self.refused = ''

    def is_reader(self) -> bool:
        """Return whether this VM reads the platform for its domain."""
        return ownership.is_first_of_domain(
            self._context.members, READER_SALT, READERS_PER_DOMAIN
        )

    async def run_watch(self) -> None:
        """Watch the document while this VM is a reader."""
        await self._run_reader(self._watch)

    async def run_reads(self) -> None:
        """Read the document at intervals, in case a watch is silent."""
        await self._run_reader(self._read_at_interval)

    async def run_list(self) -> None:
        """Read the list of VMs at intervals while this VM is a reader."""
        await self._run_reader(self._read_list)

    async def run_slow_list(self) -> None:
        """Read the list of VMs now and then, reader or not."""
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
            self._note_list(revision, vms)

    async def _run_reader(
        self, step: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        retry_s = RETRY_MIN_S
        while True:
            if not self.is_reader():
                await asyncio.sleep(READER_CHECK_S)
                continue
            self._context.counters[_Count.PLATFORM_CALLS] += 1
            try:
                await step()
                retry_s = RETRY_MIN_S
                self._note_reachable(True)
            except errors.PlatformError as exc:
                self._context.counters[_Count.PLATFORM_FAILED] += 1
                self._note_reachable(False, str(exc))
                await asyncio.sleep(
                    retry_s * self._context.random.uniform(0.5, 1.0)
                )
                retry_s = min(RETRY_MAX_S, retry_s * 2)

    def _note_reachable(self, reachable: bool, reason: str = '') -> None:
        if reachable == self._context.platform_reachable:
            return
        self._context.platform_reachable = reachable
        if reachable:
            logger.info('the platform answers again')
        else:
            logger.warning('the platform does not answer: {}', reason)

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
        self._note_object(found)

    async def _read_at_interval(self) -> None:
        await asyncio.sleep(READ_INTERVAL_S)
        await self.read_now()

    async def read_now(self) -> None:
        """Read the document; raises ``PlatformError``."""
        found = await self._client.watch_object(
            platform.DOCUMENT_KIND, platform.DOCUMENT_NAME, self._version, 0.0
        )
        self._note_object(found)

    def _note_object(self, found: hooks.StoredObject | None) -> None:
        if found is None or found.version == self._version:
            return
        self._version = found.version
        try:
            loaded = document.load_document(found.value)
        except errors.DocumentError as exc:
            self._note_refusal(f'platform version {found.version}', exc)
            return
        self.offer_document(loaded, f'platform version {found.version}')

    def offer_document(self, offered: document.Document, source: str) -> bool:
        """Put a document in force if it is newer and valid."""
        context = self._context
        now = context.clock.read_monotonic()
        try:
            outcome = context.routing.adopt(offered, now)
        except errors.DocumentError as exc:
            self._note_refusal(source, exc)
            return False
        match outcome:
            case routing.Ignored(generation):
                if generation < context.routing.generation:
                    context.counters[_Count.DOCUMENT_STALE] += 1
                return False
            case routing.Adopted():
                self._follow_adoption(outcome, now)
        logger.info('generation {} from {}', offered.generation, source)
        self.announce()
        return True

    def _note_refusal(self, source: str, exc: errors.DocumentError) -> None:
        """Report an invalid document; the last good one stays in force."""
        self._context.counters[_Count.DOCUMENT_REFUSED] += 1
        self.refused = f'{source}: {exc}'
        logger.error('refused the document of {}: {}', source, exc)

    def _follow_adoption(self, adopted: routing.Adopted, now: float) -> None:
        context = self._context
        self.refused = ''
        context.counters[_Count.DOCUMENT_ADOPTED] += 1
        context.owners.forget_tables()
        context.admission.keep_services(adopted.tables.by_name)
        for name in adopted.changed:
            table = adopted.tables.by_name.get(name)
            previous = table and context.routing.find_previous(table)
            if previous is None:
                continue
            self._note_upstreams(table, previous, now)
            self._require_former_owners(name)

    def _note_upstreams(
        self,
        table: placement.ServiceTable,
        previous: placement.ServiceTable,
        now: float,
    ) -> None:
        """Start the ramp of new upstreams, and forget removed ones."""
        loads = self._context.loads
        for address in table.by_address.keys() - previous.by_address.keys():
            loads.note_usable(address, now)
        for address in previous.by_address.keys() - table.by_address.keys():
            loads.forget(address)

    def _require_former_owners(self, service: str) -> None:
        """Expect flows of buckets that the new table moved here."""
        context = self._context
        for member in context.members.list_peers():
            context.former_owners.require(member.vm_id, service)

    async def _read_list(self) -> None:
        interval_s = self._context.settings.platform.list_interval_s
        await asyncio.sleep(interval_s)
        revision, vms = await self._client.list_vms()
        self._note_list(revision, vms)

    def _note_list(self, revision: int, vms: list[hooks.PlatformVm]) -> None:
        now = self._context.clock.read_monotonic()
        leaving = frozenset(
            vm.address
            for vm in vms
            if vm.role == 'upstream' and vm.state == 'leaving'
        )
        self._note_gone_domains(vms, now)
        self._meet_strangers(vms)
        self.note_leaving(revision, leaving)

    def _meet_strangers(self, vms: list[hooks.PlatformVm]) -> None:
        """Probe listed VMs that are not members, should seeds have failed."""
        known = {
            member.record.peer_address
            for member in self._context.members.list_members()
        }
        for vm in vms:
            if vm.role == 'entry' and vm.address not in known:
                self._meet(vm.address)

    async def list_meeting_points(self) -> list[str]:
        """Return the listed VMs that every starting VM introduces itself to.

        Nothing if the platform does not answer: seeds have to do then.
        """
        me = self._context.members.me
        self._context.counters[_Count.PLATFORM_CALLS] += 1
        try:
            _, vms = await self._client.list_vms()
        except errors.PlatformError as exc:
            self._context.counters[_Count.PLATFORM_FAILED] += 1
            logger.warning('joining without the list of VMs: {}', exc)
            return []
        listed = sorted(vm.address for vm in vms if vm.role == 'entry')
        others = [address for address in listed if address != me.peer_address]
        return others[:MEETING_POINTS]

    def _note_gone_domains(
        self, vms: list[hooks.PlatformVm], now: float
    ) -> None:
        """Find domains that had entry VMs on the list and have none now."""
        listed = {vm.failure_domain for vm in vms if vm.role == 'entry'}
        self._seen_domains |= listed
        for domain in listed:
            self._empty_since.pop(domain, None)
        gone = set()
        for domain in self._seen_domains - listed:
            since = self._empty_since.setdefault(domain, now)
            if now - since >= GONE_AFTER_S:
                gone.add(domain)
        self._context.owners.set_gone_domains(frozenset(gone))

    def note_leaving(self, revision: int, leaving: frozenset[str]) -> None:
        """Take in the leaving upstreams of a revision of the list."""
        context = self._context
        if revision <= context.routing.list_revision:
            return
        differing = context.routing.set_leaving(revision, leaving)
        if differing:
            logger.info('leaving upstreams are now {}', sorted(leaving))
        self.announce()

    def announce(self) -> None:
        """Tell some peers that there is something new.

        A VM that is still joining stays silent: who hears of it takes it
        for an owner.
        """
        context = self._context
        if not context.serving:
            return
        peers = context.members.list_peers()
        announcement = messages.Announcement(
            context.members.me, context.get_knowledge()
        )
        wanted = ANNOUNCE_PEERS + math.ceil(math.log(len(peers) + 1))
        count = min(len(peers), wanted)
        for peer in context.random.sample(peers, count):
            self._send(peer.vm_id, announcement)

    def is_behind(self, knowledge: messages.Knowledge) -> bool:
        """Return whether a peer knows something newer."""
        routing_state = self._context.routing
        return (
            knowledge.generation > routing_state.generation
            or knowledge.list_revision > routing_state.list_revision
        )

    def note_knowledge(
        self, vm_id: str, knowledge: messages.Knowledge
    ) -> None:
        """Remember whom to fetch from if a peer is ahead."""
        if self.is_behind(knowledge):
            self._ahead = vm_id
            self._wake.set()

    async def run_fetches(self) -> None:
        """Fetch from peers that are ahead, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            vm_id = self._ahead
            try:
                await self.fetch_from(vm_id)
            except errors.SavoryhavenError as exc:
                logger.debug('nothing fetched from {}: {}', vm_id, exc)

    async def fetch_from(self, vm_id: str, *, members: bool = False) -> None:
        """Fetch what is newer; raises ``PeerError`` if that fails."""
        fetch = self._make_fetch(members=members)
        self.take_update(await self._request(vm_id, fetch), vm_id)

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
        )

    def make_join(self) -> messages.Fetch:
        """Return the message that asks a peer for all it knows."""
        return self._make_fetch(members=True, joining=True)

    def make_introduction(self) -> messages.Fetch:
        """Return the same, from a VM that is about to own buckets."""
        return self._make_fetch(members=True)

    def take_update(self, update: messages.Message, source: str) -> None:
        """Take in what a peer answered to a fetch.

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
        if update.list_revision > context.routing.list_revision:
            context.owners.set_gone_domains(frozenset(update.gone_domains))
            self.note_leaving(update.list_revision, frozenset(update.leaving))

    def answer_fetch(self, fetch: messages.Fetch) -> messages.Update:
        """Return what is newer than a peer's knowledge."""
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
            tuple(sorted(state.view.leaving)),
            tuple(sorted(context.owners.gone_domains)),
            members,
        )
