"""News between VMs: heartbeats, changes at once, snapshots on request.

Any VM that learns something newer than its peers know passes it on, so that
one VM that reaches the store informs all. Nothing here waits or reads a
clock; the VM's tasks call it.
"""

import math
import random
import typing

from _savoryhaven import errors
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import loads as loads_module
from _savoryhaven.knowledge import members as members_module
from _savoryhaven.knowledge import messages
from _savoryhaven.knowledge import records
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.knowledge import snapshots
from _savoryhaven.operation import counters as counters_module
from _savoryhaven.operation import events as events_module
from _savoryhaven.placement import selection

# Between two requests for the same snapshot, in seconds: longer than a round
# trip between failure domains, short beside the bounds of seconds.
REQUEST_INTERVAL_S = 0.1
# Members are told with each fourth heartbeat, and so are loads in a fleet of
# more VMs than this: with 60 bytes for a plain heartbeat and 400 for a full
# one, five of them four times a second stay under 4 KB/s.
FULL_EVERY = 4
SMALL_FLEET = 8
# Peers that news go to at once; each passes them on.
NEWS_FANOUT = 6

_Count = counters_module.Count


class Gossip:
    """What one VM tells its peers, and what it takes from them."""

    def __init__(
        self,
        *,
        members: members_module.Members,
        routes: routes_module.Routes,
        catalogue: catalogue_module.Catalogue,
        failure_domain: str,
        incarnation: int,
        send: typing.Callable[[bytes, str], None],
        decode_configuration: typing.Callable[
            [bytes], records.RoutingConfiguration
        ],
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
    ) -> None:
        self.members: typing.Final = members
        self._routes: typing.Final = routes
        self._catalogue: typing.Final = catalogue
        self._failure_domain: typing.Final = failure_domain
        self._incarnation: typing.Final = incarnation
        self._send: typing.Final = send
        self._decode_configuration: typing.Final = decode_configuration
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self._requested: dict[str, float] = {}
        self._inbox: typing.Final = snapshots.Inbox()
        self._outbox: typing.Final = snapshots.Outbox()
        self._loads: typing.Final = loads_module.PeerLoads(catalogue)
        self._round = 0
        self.ready = False

    def send_heartbeats(self, seeds: typing.Sequence[str], now: float) -> None:
        """Tell a few peers what this VM is and knows."""
        hosts = self.members.list_hosts(now)
        unknown = [host for host in seeds if host not in hosts]
        chosen = hosts
        if len(hosts) > members_module.FANOUT:
            chosen = self._random.sample(hosts, members_module.FANOUT)
        self._round += 1
        full = self._round % FULL_EVERY == 0
        heartbeat = self._build_heartbeat(
            now, loads=full or len(hosts) <= SMALL_FLEET, members=full
        )
        if len(hosts) < members_module.FANOUT:
            chosen = [*chosen, *unknown]
        self._send_to_all(heartbeat, chosen)

    def announce_configuration(self, now: float) -> None:
        """Pass the configuration in force on at once."""
        self._send_to_all(self._build_heartbeat(now), self._choose_hosts(now))

    def announce_changes(
        self, changes: records.UpstreamChanges, now: float
    ) -> None:
        """Pass changes of upstreams on at once."""
        notice = messages.CatalogueNotice(
            changes.since, changes.revision, changes.present, changes.removed
        )
        if len(messages.encode_message(notice)) > messages.PART_BYTES:
            # Too much for a datagram: peers ask for a snapshot.
            self.announce_configuration(now)
            return
        self._send_to_all(notice, self._choose_hosts(now))

    def receive(self, raw: bytes, host: str, now: float) -> None:
        """Take a datagram from a peer."""
        try:
            message = messages.decode_message(raw)
            self._take(message, host, now)
        except errors.PeerError as exc:
            self._counters[_Count.PEER_MALFORMED] += 1
            self._events.emit('peer_message_dropped', host=host, why=str(exc))

    def ask_for_removed(self, now: float) -> None:
        """Ask a peer for upstreams that left before this VM started."""
        live = self.members.list_live(now)
        if live:
            host = self._random.choice(live).address.host
            self._request(messages.CATALOGUE, host, now)

    def forget_gone(self, now: float) -> None:
        """Forget VMs that are gone, and what they reported."""
        self.members.forget_gone(now)
        live = {m.address.vm_id for m in self.members.list_live(now)}
        for vm_id in self._loads.list_reporters() - live:
            self._loads.take(vm_id, ())
            self._events.emit('peer_lost', peer=vm_id, live=len(live))

    def _take(self, message: messages.Message, host: str, now: float) -> None:
        match message:
            case messages.Heartbeat():
                self._take_heartbeat(message, host, now)
            case messages.SnapshotRequest():
                self._send_snapshot(message, host, now)
            case messages.SnapshotPart():
                self._take_part(message, host, now)
            case messages.CatalogueNotice():
                self._take_notice(message, host, now)

    def _take_heartbeat(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        if self.members.note_heartbeat(heartbeat, host, now):
            self._events.emit(
                'peer_joined',
                peer=heartbeat.vm_id,
                host=host,
                configuration=heartbeat.configuration_version,
                catalogue_revision=heartbeat.catalogue_revision,
            )
            if not heartbeat.answer:
                answer = self._build_heartbeat(now, members=True, answer=True)
                self._send_message(answer, host)
        for tag in heartbeat.suspects:
            state = self._catalogue.by_tag.get(tag)
            if state is not None:
                state.reported_failed_at = now
        for address in heartbeat.members:
            self.members.learn(address, now)
        if heartbeat.loads is not None:
            self._loads.take(heartbeat.vm_id, heartbeat.loads)
        self._compare_configuration(heartbeat, host, now)
        self._compare_catalogue(heartbeat, host, now)

    def _compare_configuration(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        if heartbeat.configuration_version > self._routes.version:
            self._request(messages.CONFIGURATION, host, now)
        elif heartbeat.configuration_version == self._routes.version:
            if heartbeat.configuration_age_ms >= 0:
                age_s = heartbeat.configuration_age_ms / 1000
                self._routes.confirm(now - age_s)

    def _compare_catalogue(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        catalogue = self._catalogue
        if heartbeat.catalogue_revision < catalogue.revision:
            return
        same = heartbeat.catalogue_digest == catalogue.digest
        if not same or not catalogue.revision:
            if heartbeat.catalogue_revision > catalogue.revision:
                self._request(messages.CATALOGUE, host, now)
            return
        catalogue.revision = heartbeat.catalogue_revision
        if heartbeat.catalogue_age_ms >= 0:
            age_s = heartbeat.catalogue_age_ms / 1000
            catalogue.confirm(now - age_s, now)

    def _request(self, subject: str, host: str, now: float) -> None:
        if now - self._requested.get(subject, -math.inf) < REQUEST_INTERVAL_S:
            return
        if self._inbox.is_arriving(subject, now):
            return
        self._requested[subject] = now
        self._send_message(
            messages.SnapshotRequest(self.members.vm_id, subject), host
        )

    def _send_snapshot(
        self, request: messages.SnapshotRequest, host: str, now: float
    ) -> None:
        for part in self._list_parts(request.subject, now):
            self._send_message(part, host)

    def _list_parts(
        self, subject: str, now: float
    ) -> list[messages.SnapshotPart]:
        """Return what this VM knows of a subject; nothing if it does not."""
        catalogue = self._catalogue
        current = self._routes.current
        if subject == messages.CONFIGURATION and current is not None:
            return self._outbox.list_parts(
                subject,
                version=current.version,
                age_ms=_age_ms(self._routes.confirmed_at, now),
                state=current.version,
                build=lambda: current.document,
            )
        if subject == messages.CATALOGUE and catalogue.revision:
            removed = catalogue.list_removed()
            return self._outbox.list_parts(
                subject,
                version=catalogue.revision,
                age_ms=_age_ms(catalogue.confirmed_at, now),
                state=(
                    catalogue.revision,
                    catalogue.digest,
                    frozenset(upstream.wire_id for upstream in removed),
                ),
                build=lambda: [
                    messages.encode_upstreams(catalogue.list_present()),
                    messages.encode_upstreams(removed),
                ],
            )
        return []

    def _take_part(
        self, part: messages.SnapshotPart, host: str, now: float
    ) -> None:
        snapshot = self._inbox.take(part, host, now)
        if snapshot is None:
            return
        match snapshot.subject:
            case messages.CONFIGURATION:
                self._take_configuration(snapshot, host, now)
            case messages.CATALOGUE:
                self._take_catalogue(snapshot, host, now)

    def _take_configuration(
        self, taken: snapshots.Snapshot, host: str, now: float
    ) -> None:
        age_ms = taken.age_ms
        configuration = self._decode_configuration(taken.body)
        adopted = self._routes.adopt(configuration)
        if configuration.version == self._routes.version and age_ms >= 0:
            self._routes.confirm(now - age_ms / 1000)
        if adopted:
            self.announce_configuration(now)
            self._events.emit(
                'configuration_adopted',
                version=configuration.version,
                routes=len(configuration.routes),
                source=host,
                source_age_ms=age_ms,
            )

    def _take_catalogue(
        self, taken: snapshots.Snapshot, host: str, now: float
    ) -> None:
        present, removed = taken.body
        self._catalogue.remember_removed(
            messages.decode_upstreams(removed), now
        )
        if taken.version < self._catalogue.revision:
            return
        snapshot = records.UpstreamSnapshot(
            revision=taken.version,
            upstreams=messages.decode_upstreams(present),
        )
        changes = self._catalogue.take_snapshot(snapshot, now)
        if taken.age_ms >= 0:
            self._catalogue.confirm(now - taken.age_ms / 1000, now)
        self.log_changes(changes, host, now)

    def _take_notice(
        self, notice: messages.CatalogueNotice, host: str, now: float
    ) -> None:
        if notice.revision <= self._catalogue.revision:
            return
        changes = records.UpstreamChanges(
            since=notice.since,
            revision=notice.revision,
            present=notice.present,
            removed=notice.removed,
        )
        taken = self._catalogue.take_changes(changes, now)
        if taken is None:
            self._request(messages.CATALOGUE, host, now)
            return
        self.log_changes(taken, host, now)
        if taken:
            self.announce_changes(changes, now)

    def log_changes(
        self,
        changes: typing.Iterable[catalogue_module.Change],
        source: str,
        now: float,
    ) -> None:
        """Log changes of upstreams with where they were learned."""
        age_s = round(now - self._catalogue.confirmed_at, 3)
        for change in changes:
            fields = {
                'upstream': change.upstream.upstream_id,
                'service': change.upstream.service,
                'address': f'{change.upstream.host}:{change.upstream.port}',
                'entry_revision': change.upstream.revision,
                'catalogue_revision': self._catalogue.revision,
                'catalogue_age_s': age_s,
                'source': source,
            }
            match change:
                case catalogue_module.Added():
                    self._events.emit('upstream_added', **fields)
                case catalogue_module.Updated(upstream):
                    self._events.emit(
                        'upstream_updated',
                        draining=upstream.draining,
                        warm_up_s=upstream.warm_up_s,
                        started_ms=upstream.started_ms,
                        **fields,
                    )
                case catalogue_module.Removed(_, lapsed):
                    self._events.emit(
                        'upstream_removed', lapsed=lapsed, **fields
                    )

    def _build_heartbeat(
        self,
        now: float,
        *,
        loads: bool = False,
        members: bool = False,
        answer: bool = False,
    ) -> messages.Heartbeat:
        told = self.members.list_addresses() if members else []
        if len(told) > members_module.TOLD_MEMBERS and not answer:
            told = self._random.sample(told, members_module.TOLD_MEMBERS)
        catalogue = self._catalogue
        return messages.Heartbeat(
            vm_id=self.members.vm_id,
            incarnation=self._incarnation,
            failure_domain=self._failure_domain,
            ready=self.ready,
            configuration_version=self._routes.version,
            configuration_age_ms=_age_ms(self._routes.confirmed_at, now),
            catalogue_revision=catalogue.revision,
            catalogue_digest=catalogue.digest,
            catalogue_age_ms=_age_ms(catalogue.confirmed_at, now),
            loads=self._loads.list_own(now) if loads else None,
            suspects=tuple(
                state.upstream.tag
                for state in catalogue.list_states()
                if selection.has_failed(state, now)
            ),
            members=tuple(told[: members_module.ANSWERED_MEMBERS]),
            answer=answer,
        )

    def _choose_hosts(self, now: float) -> list[str]:
        hosts = self.members.list_hosts(now)
        if len(hosts) > NEWS_FANOUT:
            return self._random.sample(hosts, NEWS_FANOUT)
        return hosts

    def _send_message(self, message: messages.Message, host: str) -> None:
        self._send_to_all(message, (host,))

    def _send_to_all(
        self, message: messages.Message, hosts: typing.Sequence[str]
    ) -> None:
        raw = messages.encode_message(message)
        self._counters[_Count.PEER_BYTES] += len(raw) * len(hosts)
        for host in hosts:
            self._send(raw, host)


def _age_ms(confirmed_at: float, now: float) -> int:
    if confirmed_at == -math.inf:
        return -1
    return max(0, round((now - confirmed_at) * 1000))
