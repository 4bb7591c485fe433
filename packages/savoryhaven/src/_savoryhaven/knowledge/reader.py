"""Reads the store, and only as often as somebody has to.

Calls are priced, so the fleet reads like one VM: the live VM of the lowest
rank watches, all others learn from it. A VM whose knowledge grows old all the
same, because that VM died or the news does not arrive, reads for itself; the
higher its rank, the later it starts.
"""

import asyncio
import random
import typing

from _savoryhaven import errors
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import gossip as gossip_module
from _savoryhaven.knowledge import records
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.operation import counters as counters_module
from _savoryhaven.operation import events as events_module

if typing.TYPE_CHECKING:
    from _savoryhaven import hooks

# How long one watch waits, in seconds: changes have to be in force within 3 s
# also where watches go silent.
WATCH_S = 1.0
# What an answer may take beyond the wait, in seconds; with the watch this is
# the 1.5 s in which a silent connection is found.
ANSWER_S = 0.5
# A slow store answers within a second; two failed calls fit in the 3 s.
SLOW_ANSWER_S = 1.2
# A VM reads for itself when what it knows is older, in seconds: a watch, its
# slack and a heartbeat. Each rank adds a round trip to the store.
PATIENCE_S = 1.6
RANK_PATIENCE_S = 0.1
PATIENCE_MAX_S = 2.4
# A VM that starts among others has heard of some of them after so long, in
# seconds: three of its first heartbeats.
FIRST_HEARD_S = 0.3
# Pauses after failed calls, in seconds. All VMs together ask a store that is
# away about four times a second, so its return is seen by one in time.
FIRST_PAUSE_S = 0.2
FLEET_CALLS_PER_S = 4.0
PAUSE_MAX_S = 2.0
# Between two watches, in seconds, so that a storm of changes costs no more
# calls; well inside the 3 s in which changes have to be in force.
CHANGE_PAUSE_S = 0.15
# How often a VM looks whether it has to read, in seconds.
LOOK_S = 0.1

_Count = counters_module.Count


class StoreReader:
    """Keeps routes and upstreams as new as the store's."""

    def __init__(
        self,
        *,
        store: 'hooks.MetadataStore',
        clock: 'hooks.Clock',
        routes: routes_module.Routes,
        catalogue: catalogue_module.Catalogue,
        gossip: gossip_module.Gossip,
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
    ) -> None:
        self._store = store
        self._clock: typing.Final = clock
        self._routes: typing.Final = routes
        self._catalogue: typing.Final = catalogue
        self._gossip: typing.Final = gossip
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self._failures = 0
        self._skipped: set[records.SkippedEntry] = set()

    def replace_store(self, store: 'hooks.MetadataStore') -> None:
        """Read from another store from now on."""
        self._store = store

    async def run_configuration(self) -> None:
        """Read the configuration until cancelled."""
        while True:
            await self._wait_until_due(lambda: self._routes.confirmed_at)
            await self._guard(self._read_configuration)

    async def run_upstreams(self) -> None:
        """Read the upstreams until cancelled."""
        while True:
            await self._wait_until_due(lambda: self._catalogue.confirmed_at)
            await self._guard(self._read_upstreams)

    def is_due(self, confirmed_at: float, now: float) -> bool:
        """Return whether this VM has to read by itself."""
        rank = self._gossip.members.compute_rank(now)
        if rank == 0:
            return True
        return now - confirmed_at > _compute_turn(PATIENCE_S, rank)

    def compute_pause(self, now: float) -> float:
        """Return for how many seconds to wait after failed calls."""
        if self._failures <= 1:
            return FIRST_PAUSE_S
        fleet = 1 + len(self._gossip.members.list_live(now))
        longest_s = min(PAUSE_MAX_S, 2 * fleet / FLEET_CALLS_PER_S)
        return self._random.uniform(0.5, 1.0) * max(0.4, longest_s)

    async def _wait_until_due(
        self, read_confirmed_at: typing.Callable[[], float]
    ) -> None:
        while not self.is_due(
            read_confirmed_at(), self._clock.read_monotonic()
        ):
            await asyncio.sleep(LOOK_S)

    async def _guard(
        self, read: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Read once; log what was lost and regained, and pause."""
        self._counters[_Count.STORE_CALLS] += 1
        try:
            await read()
        except errors.PlatformError as exc:
            self._counters[_Count.STORE_FAILED] += 1
            self._failures += 1
            now = self._clock.read_monotonic()
            if self._failures == 1:
                self._events.emit('store_lost', code=exc.code, why=str(exc))
            await asyncio.sleep(self.compute_pause(now))
            return
        if self._failures:
            self._events.emit('store_regained', failures=self._failures)
        self._failures = 0

    async def _read_configuration(self) -> None:
        asked_at = self._clock.read_monotonic()
        if not self._routes.revision:
            change = await self._store.read_configuration(SLOW_ANSWER_S)
        else:
            try:
                change = await self._store.watch_configuration(
                    self._routes.revision, WATCH_S, WATCH_S + ANSWER_S
                )
            except errors.HistoryGoneError:
                self._log_history_gone('configuration')
                self._routes.revision = 0
                return
        self._routes.revision = change.revision
        self._take_configuration(change, asked_at)
        if change.configuration is not None:
            await asyncio.sleep(CHANGE_PAUSE_S)

    def _take_configuration(
        self, change: records.ConfigurationChange, asked_at: float
    ) -> None:
        now = self._clock.read_monotonic()
        configuration = change.configuration
        adopted = configuration is not None and self._routes.adopt(
            configuration
        )
        if self._routes.current is not None:
            self._routes.confirm(
                _date_answer(asked_at, now, news=configuration is not None)
            )
        if adopted:
            self._gossip.announce_configuration(now)
            self._events.emit(
                'configuration_adopted',
                version=configuration.version,
                routes=len(configuration.routes),
                store_revision=change.revision,
                source='store',
                call_s=round(now - asked_at, 3),
            )

    async def _read_upstreams(self) -> None:
        asked_at = self._clock.read_monotonic()
        known = self._catalogue.revision
        if not known:
            await self._list_upstreams(asked_at)
            return
        try:
            changes = await self._store.watch_upstreams(
                known, WATCH_S, WATCH_S + ANSWER_S
            )
        except errors.HistoryGoneError:
            self._log_history_gone('upstreams')
            await self._list_upstreams(self._clock.read_monotonic())
            return
        now = self._clock.read_monotonic()
        changed = bool(changes.present or changes.removed)
        self._catalogue.confirm(_date_answer(asked_at, now, news=changed), now)
        taken = self._catalogue.take_changes(changes, now)
        self._note_skipped(changes.skipped)
        if taken:
            self._gossip.announce_changes(changes, now)
            self._gossip.log_changes(taken, 'store', now)
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def _list_upstreams(self, asked_at: float) -> None:
        page = await self._store.list_upstreams(SLOW_ANSWER_S)
        pages = [page]
        if page.more and not self._catalogue.revision:
            if await self._wait_for_snapshot():
                return
        while page.more:
            page = await self._store.list_upstreams(SLOW_ANSWER_S, page.more)
            pages.append(page)
        # What changes while further pages are read shows in the next watch.
        self._take_list(
            records.UpstreamSnapshot(
                revision=pages[0].revision,
                upstreams=tuple(u for p in pages for u in p.upstreams),
                skipped=tuple(entry for p in pages for entry in p.skipped),
            ),
            asked_at,
        )

    async def _wait_for_snapshot(self) -> bool:
        """Return whether peers told all before it is this VM's turn to read.

        Of VMs that start together only a few should read a long list: with
        300 of them and 3,000 upstreams the store would be busy for seconds.
        """
        began_at = self._clock.read_monotonic()
        while True:
            now = self._clock.read_monotonic()
            rank = self._gossip.members.compute_rank(now)
            if now - began_at >= _compute_turn(FIRST_HEARD_S, rank):
                return False
            await asyncio.sleep(LOOK_S)
            if self._catalogue.revision:
                return True

    def _take_list(
        self, snapshot: records.UpstreamSnapshot, asked_at: float
    ) -> None:
        now = self._clock.read_monotonic()
        if snapshot.revision < self._catalogue.revision:
            self._events.emit(
                'store_answer_ignored',
                reason='older than what is known',
                revision=snapshot.revision,
                known=self._catalogue.revision,
            )
            return
        self._catalogue.confirm(asked_at, now)
        taken = self._catalogue.take_snapshot(snapshot, now)
        self._note_skipped(snapshot.skipped)
        if taken:
            self._gossip.log_changes(taken, 'store', now)
            self._gossip.announce_configuration(now)

    def _log_history_gone(self, subject: str) -> None:
        self._events.emit('store_history_gone', subject=subject)

    def _note_skipped(
        self, skipped: typing.Iterable[records.SkippedEntry]
    ) -> None:
        for entry in skipped:
            if entry in self._skipped:
                continue
            self._skipped.add(entry)
            self._counters[_Count.SKIPPED_ENTRIES] += 1
            self._events.emit(
                'entry_skipped', entry=entry.name, reason=entry.reason
            )


def _compute_turn(first_s: float, rank: int) -> float:
    """Return after how many seconds a VM reads, if the first does so then."""
    return min(PATIENCE_MAX_S, first_s + rank * RANK_PATIENCE_S)


def _date_answer(asked_at: float, now: float, *, news: bool) -> float:
    """Return a time at which a watch's answer was certainly true.

    An answer with news may have been on its way since the call; one after a
    whole wait without news was given at its end.
    """
    if news or now - asked_at < WATCH_S:
        return asked_at
    return asked_at + WATCH_S
