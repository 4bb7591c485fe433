"""Reads the platform's store, with few calls per fleet.

Calls cost money, so usually one VM of the fleet makes them: the live VM of
the lowest rank watches the store, and the others get changes from it. If that
VM fails or its messages do not arrive, the state of other VMs becomes stale
and they read the store too; the higher their rank, the later they start.
"""

import asyncio
import math
import random
import typing

from _savoryhaven import errors
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import gossip as gossip_module
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.model import positions
from _savoryhaven.model import records
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

if typing.TYPE_CHECKING:
    from _savoryhaven import hooks

# Duration of a watch. Changes must be in force within 3 s, even if a watch
# gets no answer.
WATCH_S = 1.0
# Time for an answer after the watch; together these are the 1.5 s in which a
# silent connection is detected.
ANSWER_MARGIN_S = 0.5
# A slow store answers within a second; two failed calls fit into the 3 s.
READ_TIMEOUT_S = 1.2
# A VM reads the store itself when its state is older than this: a watch, its
# margin and a heartbeat. Each rank adds a round trip to the store.
READ_AFTER_S = 1.6
RANK_DELAY_S = 0.1
# In a large fleet it takes up to a second until all VMs have the state that
# one of the lowest ranks has read.
READ_AFTER_MAX_S = 3.4
# Wait of the first watch of a VM whose state has become stale, so that it
# confirms its own and its peers' state before more of them read.
CATCH_UP_WATCH_S = 0.05
# A VM that starts and gets no snapshot of a long list reads it after this.
LIST_AFTER_MAX_S = 2.4
# Time in which a VM that starts gets to know some peers: three intervals of
# its first heartbeats.
DISCOVERY_S = 0.3
# Pauses after failed calls. In an outage all VMs together call the store about
# four times a second, so that one of them soon finds it available again.
FIRST_PAUSE_S = 0.2
FLEET_CALLS_PER_S = 4.0
PAUSE_MAX_S = 2.0
# Longest pause of a VM that got an unreadable answer, unless it has the lowest
# rank: that VM goes on watching, and the others get its next state from it.
UNREADABLE_PAUSE_MAX_S = 30.0
# Pause after a watch that returned changes, so that frequent changes do not
# cost more calls; well below the 3 s in which changes must be in force.
CHANGE_PAUSE_S = 0.15
# Interval at which a VM checks whether it has to read.
POLL_INTERVAL_S = 0.1

_Count = counters_module.Count


class StoreReader:
    """Keeps routes, upstreams and evacuations up to date with the store.

    Without ``evacuations`` the store is not asked for them.
    """

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
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self._store = store
        self._clock: typing.Final = clock
        self._routes: typing.Final = routes
        self._catalogue: typing.Final = catalogue
        self._evacuations: typing.Final = evacuations
        self._gossip: typing.Final = gossip
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self._failures = 0
        self._unreadable: tuple[int, str] | None = None
        self._skipped: set[records.SkippedEntry] = set()

    def replace_store(self, store: 'hooks.MetadataStore') -> None:
        """Read from another store from now on."""
        self._store = store

    async def run_configuration(self) -> None:
        """Read the configuration until cancelled."""
        while True:
            await self._wait_until_due(lambda: self._routes.confirmed_at)
            await self._read_once(self._read_configuration)

    async def run_upstreams(self) -> None:
        """Read the upstreams until cancelled."""
        while True:
            await self._wait_until_due(lambda: self._catalogue.confirmed_at)
            await self._read_once(self._read_upstreams)

    async def run_evacuations(self) -> None:
        """Read the evacuated failure domains until cancelled."""
        evacuations = self._evacuations
        while True:
            # What is too large for heartbeats each VM reads all the time.
            await self._wait_until_due(
                lambda: (
                    -math.inf
                    if evacuations.is_oversized
                    else evacuations.confirmed_at
                )
            )
            await self._read_once(self._read_evacuations)

    def is_due(self, confirmed_at: float, now: float) -> bool:
        """Return whether this VM has to read the store itself."""
        rank = self._gossip.members.compute_rank(now)
        if rank == 0:
            return True
        delay_s = min(READ_AFTER_MAX_S, READ_AFTER_S + rank * RANK_DELAY_S)
        return now - confirmed_at > delay_s

    def compute_pause(self, now: float) -> float:
        """Return how many seconds to wait after failed calls."""
        if self._failures <= 1:
            return FIRST_PAUSE_S
        fleet = 1 + len(self._gossip.members.list_live(now))
        longest_s = min(PAUSE_MAX_S, 2 * fleet / FLEET_CALLS_PER_S)
        return self._random.uniform(0.5, 1.0) * max(0.4, longest_s)

    def compute_unreadable_pause(self, now: float) -> float:
        """Return how many seconds to wait after an unreadable answer."""
        if self._gossip.members.compute_rank(now) == 0:
            return WATCH_S
        fleet = 1 + len(self._gossip.members.list_live(now))
        return min(UNREADABLE_PAUSE_MAX_S, WATCH_S + fleet / FLEET_CALLS_PER_S)

    def _log_unreadable(self, exc: errors.UnreadableError) -> None:
        """Log an unreadable answer, once for each revision and reason."""
        self._counters[_Count.STORE_UNREADABLE] += 1
        answer = (exc.revision, str(exc))
        if answer == self._unreadable:
            return
        self._unreadable = answer
        self._events.emit(
            'store_answer_unreadable',
            code=exc.code,
            why=str(exc),
            store_revision=exc.revision,
            configuration=self._routes.version,
        )

    async def _wait_until_due(
        self, read_confirmed_at: typing.Callable[[], float]
    ) -> None:
        while not self.is_due(
            read_confirmed_at(), self._clock.read_monotonic()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_once(
        self, read: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Read once; log failures and the end of an outage."""
        self._counters[_Count.STORE_CALLS] += 1
        began_at = self._clock.read_monotonic()
        try:
            await read()
        except errors.UnreadableError as exc:
            self._log_unreadable(exc)
            await asyncio.sleep(
                self.compute_unreadable_pause(self._clock.read_monotonic())
            )
            return
        except errors.PlatformError as exc:
            self._counters[_Count.STORE_FAILED] += 1
            self._failures += 1
            now = self._clock.read_monotonic()
            self._events.emit(
                'store_lost' if self._failures == 1 else 'store_call_failed',
                code=exc.code,
                why=str(exc),
                for_s=round(now - began_at, 3),
                failures=self._failures,
            )
            await asyncio.sleep(self.compute_pause(now))
            return
        if self._failures:
            self._events.emit('store_regained', failures=self._failures)
        self._failures = 0

    async def _read_configuration(self) -> None:
        requested_at = self._clock.read_monotonic()
        wait_s = _choose_watch_s(self._routes.confirmed_at, requested_at)
        try:
            change = await self._call_for_configuration(wait_s)
        except errors.HistoryGoneError:
            self._log_history_gone('configuration')
            self._routes.revision = 0
            return
        except errors.UnreadableError as exc:
            if exc.revision:
                # The next watch waits for another version.
                self._routes.revision = exc.revision
                self._routes.newer_unreadable = True
            raise
        self._routes.revision = change.revision
        self._apply_configuration(change, requested_at, wait_s)
        if change.configuration is not None:
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def _call_for_configuration(
        self, wait_s: float
    ) -> records.ConfigurationChange:
        if not self._routes.revision:
            return await self._store.read_configuration(READ_TIMEOUT_S)
        return await self._store.watch_configuration(
            self._routes.revision, wait_s, WATCH_S + ANSWER_MARGIN_S
        )

    def _apply_configuration(
        self,
        change: records.ConfigurationChange,
        requested_at: float,
        wait_s: float,
    ) -> None:
        now = self._clock.read_monotonic()
        configuration = change.configuration
        adopted = configuration is not None and self._routes.adopt(
            configuration
        )
        if self._routes.current is not None:
            self._routes.confirm(
                _compute_confirmed_at(
                    requested_at,
                    now,
                    changed=configuration is not None,
                    wait_s=wait_s,
                )
            )
        if configuration is not None and not adopted:
            self._log_behind(configuration.version)
        if adopted:
            self._gossip.announce_state(now)
            self._gossip.log_configuration(
                configuration,
                store_revision=change.revision,
                source='store',
                call_s=round(now - requested_at, 3),
            )

    async def _read_upstreams(self) -> None:
        requested_at = self._clock.read_monotonic()
        known = self._catalogue.revision
        if not known:
            await self._list_upstreams(requested_at)
            return
        wait_s = _choose_watch_s(self._catalogue.confirmed_at, requested_at)
        try:
            changes = await self._store.watch_upstreams(
                known, wait_s, WATCH_S + ANSWER_MARGIN_S
            )
        except errors.HistoryGoneError:
            self._log_history_gone('upstreams')
            await self._list_upstreams(self._clock.read_monotonic())
            return
        now = self._clock.read_monotonic()
        changed = bool(changes.present or changes.removed)
        self._catalogue.confirm(
            _compute_confirmed_at(
                requested_at, now, changed=changed, wait_s=wait_s
            ),
            now,
        )
        applied = self._catalogue.apply_changes(changes, now)
        self._report_skipped(changes.skipped)
        if applied:
            self._gossip.announce_changes(changes, now)
            self._gossip.log_changes(applied, 'store', now)
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def _list_upstreams(self, requested_at: float) -> None:
        page = await self._store.list_upstreams(READ_TIMEOUT_S)
        pages = [page]
        if page.more and not self._catalogue.revision:
            if await self._wait_for_snapshot():
                return
        while page.more:
            page = await self._store.list_upstreams(READ_TIMEOUT_S, page.more)
            pages.append(page)
        # The next watch returns changes made while further pages were read.
        await self._apply_list(
            records.UpstreamSnapshot(
                revision=pages[0].revision,
                upstreams=tuple(u for p in pages for u in p.upstreams),
                skipped=tuple(entry for p in pages for entry in p.skipped),
            ),
            requested_at,
        )

    async def _wait_for_snapshot(self) -> bool:
        """Return whether a peer's snapshot came before this VM has to read.

        Of VMs that start together, only a few should read a long list. With
        300 VMs and 3,000 upstreams the store would be busy for seconds.
        """
        began_at = self._clock.read_monotonic()
        while True:
            now = self._clock.read_monotonic()
            rank = self._gossip.members.compute_rank(now)
            delay_s = min(LIST_AFTER_MAX_S, DISCOVERY_S + rank * RANK_DELAY_S)
            if now - began_at >= delay_s:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._catalogue.revision:
                return True

    async def _apply_list(
        self, snapshot: records.UpstreamSnapshot, requested_at: float
    ) -> None:
        now = self._clock.read_monotonic()
        if snapshot.revision < self._catalogue.revision:
            await self._ignore_older(
                snapshot.revision, self._catalogue.revision
            )
            return
        self._log_era(self._catalogue.revision, snapshot.revision)
        self._catalogue.confirm(requested_at, now)
        applied = self._catalogue.apply_snapshot(snapshot, now)
        self._report_skipped(snapshot.skipped)
        if applied:
            self._gossip.log_changes(applied, 'store', now)
            self._gossip.announce_state(now)

    async def _read_evacuations(self) -> None:
        requested_at = self._clock.read_monotonic()
        known = self._evacuations.position
        if not known:
            await self._list_evacuations(requested_at)
            return
        wait_s = _choose_watch_s(self._evacuations.confirmed_at, requested_at)
        try:
            changes = await self._store.watch_evacuations(
                known, wait_s, WATCH_S + ANSWER_MARGIN_S
            )
        except errors.HistoryGoneError:
            self._log_history_gone('evacuations')
            await self._list_evacuations(self._clock.read_monotonic())
            return
        now = self._clock.read_monotonic()
        changed = bool(changes.added or changes.removed)
        self._report_skipped(changes.skipped)
        applied = self._evacuations.apply_changes(
            changes,
            confirmed_at=_compute_confirmed_at(
                requested_at, now, changed=changed, wait_s=wait_s
            ),
            now=now,
        )
        if applied:
            self._gossip.announce_state(now)
        if changed:
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def _list_evacuations(self, requested_at: float) -> None:
        snapshot = await self._store.list_evacuations(READ_TIMEOUT_S)
        now = self._clock.read_monotonic()
        known = self._evacuations.position
        if snapshot.revision < known:
            await self._ignore_older(snapshot.revision, known)
            return
        self._report_skipped(snapshot.skipped)
        if self._evacuations.apply_snapshot(
            snapshot, confirmed_at=requested_at, now=now
        ):
            self._gossip.announce_state(now)

    async def _ignore_older(self, revision: int, known: int) -> None:
        """Log a list that is older than what is known, and wait."""
        self._events.emit(
            'store_answer_ignored',
            reason='older than the known revision',
            revision=revision,
            known=known,
        )
        await asyncio.sleep(WATCH_S)

    def _log_behind(self, version: int) -> None:
        """Log that the store has an older version than is in force."""
        if version < self._routes.version:
            self._events.emit(
                'store_behind',
                store_version=version,
                configuration=self._routes.version,
            )

    def _log_era(self, known: int, revision: int) -> None:
        """Log that the store came back from an older copy."""
        era, era_before = positions.get_era(revision), positions.get_era(known)
        if known and era > era_before:
            self._events.emit(
                'store_era_changed',
                era=era,
                era_before=era_before,
                revision=positions.get_revision(revision),
                revision_before=positions.get_revision(known),
            )

    def _log_history_gone(self, subject: str) -> None:
        self._events.emit('store_history_gone', subject=subject)

    def _report_skipped(
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


def _choose_watch_s(confirmed_at: float, now: float) -> float:
    """Return how long to watch state that was last confirmed at a time."""
    return WATCH_S if now - confirmed_at <= READ_AFTER_S else CATCH_UP_WATCH_S


def _compute_confirmed_at(
    requested_at: float, now: float, *, changed: bool, wait_s: float = WATCH_S
) -> float:
    """Return the latest time at which a watch's answer was surely valid.

    An answer with changes may have been sent at any time since the call. An
    answer without changes after the whole wait was sent at its end.
    """
    if changed or now - requested_at < wait_s:
        return requested_at
    return requested_at + wait_s
