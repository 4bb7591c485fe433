"""Gossip between VMs: heartbeats, change notices and snapshots on request.

A VM that receives newer state passes it on, so it is enough that one VM can
reach the store. Nothing here waits or reads a clock; the VM's tasks call it.
"""

import collections
import functools
import math
import random
import typing

from _savoryhaven import errors
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import flow_places as flow_places_module
from _savoryhaven.knowledge import loads as loads_module
from _savoryhaven.knowledge import members as members_module
from _savoryhaven.knowledge import messages
from _savoryhaven.knowledge import older_builds
from _savoryhaven.knowledge import place_exchange
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.knowledge import snapshots
from _savoryhaven.model import digests
from _savoryhaven.model import packets
from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

# Interval between requests for the same snapshot: longer than a round trip
# between failure domains, and well below the 3 s in which changes must be in
# force.
REQUEST_INTERVAL_S = 0.1
# Each fourth heartbeat carries members and loads; with no more peers than
# ``SMALL_FLEET_VMS``, all heartbeats carry loads. A plain heartbeat has 60
# bytes and a full one 400, so five of them four times a second stay under
# 4 KB/s.
HEARTBEATS_PER_FULL = 4
SMALL_FLEET_VMS = 8
# What a VM may send to peers in the long run, snapshots left out, and the
# least share of announcements in it.
CONTROL_BYTES_PER_S = 4_096.0
ANNOUNCED_MIN_BYTES_PER_S = 200.0
# Peers that get a change immediately; each passes it on.
CHANGE_FANOUT = 6
# Unreadable fields of peers whose log line is not repeated; bounds the memory
# that datagrams from many addresses can take.
MAX_LOGGED_FIELDS = 1_000

_Count = counters_module.Count


class Gossip:
    """Exchanges state with the peers of one VM."""

    def __init__(
        self,
        *,
        members: members_module.Members,
        routes: routes_module.Routes,
        catalogue: catalogue_module.Catalogue,
        places: flow_places_module.FlowPlaces,
        failure_domain: str,
        incarnation: int,
        send: typing.Callable[[bytes, str], None],
        decode_configuration: typing.Callable[
            [bytes], records.RoutingConfiguration
        ],
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self.members: typing.Final = members
        self._routes: typing.Final = routes
        self._catalogue: typing.Final = catalogue
        self._places: typing.Final = places
        self._evacuations: typing.Final = evacuations
        self._failure_domain: typing.Final = failure_domain
        self._incarnation: typing.Final = incarnation
        self._send: typing.Final = send
        self._decode_configuration: typing.Final = decode_configuration
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self._requested: dict[str, float] = {}
        self._assembler: typing.Final = snapshots.SnapshotAssembler(
            members.vm_id
        )
        self._served_peers: typing.Final = snapshots.ServedPeers(
            members.link_mbps
        )
        self._snapshot_cache: typing.Final = snapshots.SnapshotCache()
        self._exchange: typing.Final = place_exchange.PlaceExchange(
            places=places,
            members=members,
            failure_domain=failure_domain,
            assembler=self._assembler,
            cache=self._snapshot_cache,
            send=self._send_message,
            get_spare_rate=self.get_spare_rate,
            counters=counters,
            events=events,
            source=source,
        )
        self._loads: typing.Final = loads_module.PeerLoads(catalogue)
        self._older_peers: typing.Final = older_builds.OlderPeers(
            catalogue, evacuations
        )
        self._logged_fields: set[tuple[str, str]] = set()
        self._round = 0
        # Bytes of each heartbeat since before the last full one.
        self._heartbeat_bytes: collections.deque[int] = collections.deque(
            maxlen=HEARTBEATS_PER_FULL
        )
        self.ready = False

    def send_heartbeats(self, seeds: typing.Sequence[str], now: float) -> None:
        """Send a heartbeat to a few peers, and to seeds if peers are few."""
        self._exchange.retry(now)
        hosts = self.members.list_hosts(now)
        unknown = [host for host in seeds if host not in hosts]
        chosen = hosts
        if len(hosts) > members_module.HEARTBEAT_FANOUT:
            chosen = self._random.sample(
                hosts, members_module.HEARTBEAT_FANOUT
            )
        self._round += 1
        full = self._round % HEARTBEATS_PER_FULL == 0
        heartbeat = self._build_heartbeat(
            now,
            loads=full or len(hosts) <= SMALL_FLEET_VMS,
            members=full,
            brief=not full,
        )
        if len(hosts) < members_module.HEARTBEAT_FANOUT:
            chosen = [*chosen, *unknown]
        sent_bytes = self._send_heartbeat(heartbeat, chosen)
        if full:
            comparison = self._exchange.make_comparison(now)
            sent_bytes += self._send_to_all(comparison, chosen)
        self._heartbeat_bytes.append(sent_bytes)

    def announce_state(self, now: float) -> None:
        """Send a heartbeat at once, so that peers request newer state."""
        self._send_heartbeat(
            self._build_heartbeat(now), self._choose_hosts(now)
        )

    def announce_changes(
        self, changes: records.UpstreamChanges, now: float
    ) -> None:
        """Send changes of upstreams to peers at once."""
        self._older_peers.note_changes()
        notice = messages.CatalogueNotice(
            changes.since, changes.revision, changes.present, changes.removed
        )
        if len(messages.encode_message(notice)) > messages.MAX_PART_BYTES:
            # Too large for a datagram: peers will request a snapshot.
            self.announce_state(now)
            return
        self._send_to_all(notice, self._choose_hosts(now))

    def get_spare_rate(self) -> float:
        """Return how many bytes per second announcements may use."""
        period_s = HEARTBEATS_PER_FULL * members_module.HEARTBEAT_INTERVAL_S
        rate = sum(self._heartbeat_bytes) / period_s
        return max(ANNOUNCED_MIN_BYTES_PER_S, CONTROL_BYTES_PER_S - rate)

    def awaits_places(self, now: float) -> bool:
        """Return whether places of flows are about to arrive.

        Until then this VM may send packets of open flows to the wrong
        upstream. VMs that are not ready have just started, too.
        """
        return self._exchange.is_awaiting(now)

    def announce_places(
        self, places: tuple[packets.FlowPlace, ...], now: float
    ) -> int:
        """Send the places of flows to the VMs that may get their packets.

        Return how many bytes were sent.
        """
        hosts = self._exchange.list_hosts(now)
        return self._send_to_all(messages.make_place_notice(places), hosts)

    def receive(self, raw: bytes, host: str, now: float) -> None:
        """Handle a datagram from a peer."""
        try:
            message = messages.decode_message(
                raw, functools.partial(self._note_unreadable, host)
            )
            self._handle(message, host, now)
        except (errors.PeerError, errors.PlatformError) as exc:
            self._counters[_Count.PEER_MALFORMED] += 1
            self._events.emit('peer_message_dropped', host=host, why=str(exc))

    def _note_unreadable(
        self, host: str, field: str, reason: Exception
    ) -> None:
        """Count an unreadable field, and log the first of its kind."""
        self._counters[_Count.PEER_FIELDS_UNREADABLE] += 1
        if (host, field) in self._logged_fields:
            return
        if len(self._logged_fields) >= MAX_LOGGED_FIELDS:
            self._logged_fields.clear()
        self._logged_fields.add((host, field))
        self._events.emit(
            'peer_field_unreadable', host=host, field=field, why=repr(reason)
        )

    def request_removed(self, now: float) -> None:
        """Request a peer's upstreams, including removed ones."""
        live = self.members.list_live(now)
        if live:
            host = self._random.choice(live).address.host
            self._request(
                messages.CATALOGUE, self._catalogue.revision, host, now
            )

    def expire_members(self, now: float) -> None:
        """Remove VMs that are gone, and loads of VMs that are not live."""
        self.members.expire_members(now)
        self._older_peers.retain(self.members.list_hosts(now))
        self._catalogue.set_all_tags_known(self._older_peers.know_all_tags)
        live = {m.address.vm_id for m in self.members.list_live(now)}
        for vm_id in self._loads.list_reporters() - live:
            self._loads.replace_reports(vm_id, ())
            self._events.emit('peer_lost', peer=vm_id, live=len(live))

    def _handle(
        self, message: messages.Message, host: str, now: float
    ) -> None:
        match message:
            case messages.Heartbeat():
                self._handle_heartbeat(message, host, now)
            case messages.SnapshotRequest():
                self._send_snapshot(message, host, now)
            case messages.SnapshotPart():
                self._handle_part(message, host, now)
            case messages.CatalogueNotice():
                self._handle_notice(message, host, now)

    def _handle_heartbeat(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        self._older_peers.note_heartbeat(heartbeat, host)
        self._exchange.learn(heartbeat, host, now)
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
                self._send_heartbeat(answer, (host,))
        for tag in heartbeat.suspects:
            state = self._catalogue.by_tag.get(tag)
            if state is not None:
                state.reported_failed_at = now
        for address in heartbeat.members:
            self.members.learn(address, now)
        self.members.note_heard(heartbeat.heard, now)
        if heartbeat.loads is not None:
            self._loads.replace_reports(heartbeat.vm_id, heartbeat.loads)
        self._compare_configuration(heartbeat, host, now)
        self._compare_catalogue(heartbeat, host, now)
        self._compare_evacuations(heartbeat, host, now)

    def _compare_configuration(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        version = heartbeat.configuration_version
        if version > self._routes.version:
            self._request(messages.CONFIGURATION, version, host, now)
        elif version == self._routes.version:
            self._routes.note_revision(
                version, heartbeat.configuration_revision
            )
            if heartbeat.configuration_age_ms >= 0:
                age_s = heartbeat.configuration_age_ms / 1000
                self._routes.confirm(now - age_s)

    def _compare_catalogue(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        catalogue = self._catalogue
        revision = heartbeat.catalogue_revision
        if revision < catalogue.revision:
            return
        digest = heartbeat.catalogue_digest
        same = digest == catalogue.digest
        if digests.is_weak(digest):
            same = digest == catalogue.weak_digest
            if same and 0 < catalogue.revision < revision:
                # The upstreams may differ all the same. This VM reads the
                # store itself unless a peer of its build confirms them.
                return
        if not same or not catalogue.revision:
            if revision > catalogue.revision:
                self._request(messages.CATALOGUE, revision, host, now)
            return
        catalogue.revision = revision
        if heartbeat.catalogue_age_ms >= 0:
            age_s = heartbeat.catalogue_age_ms / 1000
            catalogue.confirm(now - age_s, now)

    def _compare_evacuations(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        if self._evacuations is None:
            return
        age_ms = heartbeat.evacuations_age_ms
        confirmed_at = now - age_ms / 1000 if age_ms >= 0 else -math.inf
        position = heartbeat.evacuations_position
        if heartbeat.evacuations is None:
            self._evacuations.confirm_same(
                heartbeat.evacuations_digest,
                position,
                confirmed_at=confirmed_at,
            )
            return
        changed = self._evacuations.adopt(
            heartbeat.evacuations,
            position,
            source=host,
            confirmed_at=confirmed_at,
            now=now,
        )
        if changed:
            self.announce_state(now)

    def _describe_evacuations(
        self, now: float, *, names: bool
    ) -> dict[str, typing.Any]:
        """Return the fields of a heartbeat; none if they are not sent.

        The digest is sent in place of the names: a VM that missed an
        announcement gets the names with the next heartbeat that has them.
        """
        known = self._evacuations
        if known is None or known.list_shared() is None:
            return {}
        fields = {
            'evacuations_position': known.position,
            'evacuations_age_ms': _age_ms(known.confirmed_at, now),
        }
        if names:
            return {'evacuations': known.list_shared(), **fields}
        return {'evacuations_digest': known.digest, **fields}

    def _request(
        self, subject: str, version: int, host: str, now: float
    ) -> None:
        """Request a peer's snapshot, or what is missing of its version."""
        if now - self._requested.get(subject, -math.inf) < REQUEST_INTERVAL_S:
            return
        if self._assembler.is_arriving(subject, now):
            return
        incomplete = self._assembler.describe_incomplete(subject)
        if incomplete:
            self._counters[_Count.SNAPSHOTS_INCOMPLETE] += 1
        self._counters[_Count.SNAPSHOTS_REQUESTED] += 1
        self._events.emit(
            'snapshot_requested',
            subject=subject,
            host=host,
            configuration=self._routes.version,
            catalogue_revision=self._catalogue.revision,
            incomplete=incomplete,
        )
        self._requested[subject] = now
        self._send_message(
            self._assembler.make_request(subject, version, host), host
        )

    def _send_snapshot(
        self, request: messages.SnapshotRequest, host: str, now: float
    ) -> None:
        parts = self._list_parts(request, now)
        if not parts:
            return
        count = parts[-1].count
        # What fits into one answer is sent to all, so that VMs that start
        # together don't wait for each other.
        if count > snapshots.FIRST_WINDOW:
            if not self._served_peers.admit(host, now):
                self._counters[_Count.SNAPSHOTS_DEFERRED] += 1
                return
            if parts[-1].index == count - 1:
                self._served_peers.release(host)
        for part in parts:
            self._counters[_Count.SNAPSHOT_PARTS_SENT] += 1
            self._send_message(part, host)

    def _list_parts(
        self, request: messages.SnapshotRequest, now: float
    ) -> list[messages.SnapshotPart]:
        """Return the requested parts; none if there is no state yet."""
        subject = request.subject
        catalogue = self._catalogue
        current = self._routes.current
        if subject == messages.CONFIGURATION and current is not None:
            return self._snapshot_cache.list_parts(
                request,
                version=current.version,
                age_ms=_age_ms(self._routes.confirmed_at, now),
                state=current.version,
                build=lambda: current.document,
            )
        if subject == messages.CATALOGUE and catalogue.revision:
            removed = catalogue.list_removed()
            return self._snapshot_cache.list_parts(
                request,
                version=catalogue.revision,
                age_ms=_age_ms(catalogue.confirmed_at, now),
                state=(
                    catalogue.revision,
                    catalogue.digest,
                    frozenset(upstream.wire_id for upstream in removed),
                ),
                build=lambda: [
                    _encode_sorted(catalogue.list_present()),
                    _encode_sorted(removed),
                ],
            )
        if subject == messages.PLACES:
            return self._exchange.list_parts(request, now, ready=self.ready)
        return []

    def _handle_part(
        self, part: messages.SnapshotPart, host: str, now: float
    ) -> None:
        self._counters[_Count.SNAPSHOT_PARTS_RECEIVED] += 1
        snapshot = self._assembler.add(part, host, now)
        if snapshot is None:
            request = self._assembler.continue_request(part, host)
            if request is not None:
                self._send_message(request, host)
            return
        match snapshot.subject:
            case messages.CONFIGURATION:
                self._apply_configuration(snapshot, host, now)
            case messages.CATALOGUE:
                self._apply_catalogue(snapshot, host, now)
            case messages.PLACES:
                self._exchange.receive(snapshot, host, now)

    def _apply_configuration(
        self, received: snapshots.Snapshot, host: str, now: float
    ) -> None:
        age_ms = received.age_ms
        configuration = self._decode_configuration(received.body)
        adopted = self._routes.adopt(configuration)
        if configuration.version == self._routes.version and age_ms >= 0:
            self._routes.confirm(now - age_ms / 1000)
        if adopted:
            self.announce_state(now)
            self.log_configuration(
                configuration, source=host, source_age_ms=age_ms
            )

    def log_configuration(
        self,
        configuration: records.RoutingConfiguration,
        **origin: typing.Any,
    ) -> None:
        """Log an adopted configuration, and what can't be read in it."""
        self._events.emit(
            'configuration_adopted',
            version=configuration.version,
            routes=len(configuration.routes),
            unreadable=len(configuration.findings),
            **origin,
        )
        for finding in configuration.findings:
            self._counters[_Count.FIELDS_UNREADABLE] += 1
            self._events.emit(
                'configuration_field_unreadable',
                version=configuration.version,
                route=finding.route,
                field=finding.field,
                value=finding.value,
                route_left_out=finding.left_out,
            )

    def _apply_catalogue(
        self, received: snapshots.Snapshot, host: str, now: float
    ) -> None:
        present, removed = messages.decode_catalogue(received.body)
        self._catalogue.add_removed(removed, now)
        if received.version < self._catalogue.revision:
            return
        snapshot = records.UpstreamSnapshot(
            revision=received.version, upstreams=present
        )
        changes = self._catalogue.apply_snapshot(snapshot, now)
        if received.age_ms >= 0:
            self._catalogue.confirm(now - received.age_ms / 1000, now)
        self.log_changes(changes, host, now)

    def _handle_notice(
        self, notice: messages.CatalogueNotice, host: str, now: float
    ) -> None:
        self._places.receive(notice.places, now)
        if notice.places_digest:
            self._older_peers.note_comparison(host)
            self._exchange.compare(notice.places_digest, host, now)
        if notice.revision <= self._catalogue.revision:
            return
        changes = records.UpstreamChanges(
            since=notice.since,
            revision=notice.revision,
            present=notice.present,
            removed=notice.removed,
        )
        applied = self._catalogue.apply_changes(changes, now)
        if applied is None:
            self._request(messages.CATALOGUE, notice.revision, host, now)
            return
        self.log_changes(applied, host, now)
        if applied:
            self.announce_changes(changes, now)

    def log_changes(
        self,
        changes: typing.Iterable[catalogue_module.Change],
        source: str,
        now: float,
    ) -> None:
        """Log changes of upstreams and the source that they came from."""
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
                case catalogue_module.Kept(_, reason):
                    self._events.emit('upstream_kept', reason=reason, **fields)
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
        brief: bool = False,
    ) -> messages.Heartbeat:
        """Return a heartbeat.

        ``brief`` leaves out what few heartbeats need to carry: the names of
        evacuated domains, and the classes of the links of other VMs.
        """
        addresses = self.members.list_addresses() if members else []
        if (
            len(addresses) > members_module.MAX_HEARTBEAT_MEMBERS
            and not answer
        ):
            addresses = self._random.sample(
                addresses, members_module.MAX_HEARTBEAT_MEMBERS
            )
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
                state.tag
                for state in catalogue.list_states()
                if upstreams.has_failed(state, now)
            ),
            members=tuple(addresses[: members_module.MAX_ANSWER_MEMBERS]),
            answer=answer,
            heard=self.members.list_heard(now, classes=not brief),
            link_mbps=int(self.members.link_mbps),
            configuration_revision=(
                0 if self._routes.newer_unreadable else self._routes.revision
            ),
            **self._describe_evacuations(now, names=not brief),
        )

    def _choose_hosts(self, now: float) -> list[str]:
        hosts = self.members.list_hosts(now)
        if len(hosts) > CHANGE_FANOUT:
            return self._random.sample(hosts, CHANGE_FANOUT)
        return hosts

    def _send_message(self, message: messages.Message, host: str) -> None:
        self._send_to_all(message, (host,))

    def _send_heartbeat(
        self, heartbeat: messages.Heartbeat, hosts: typing.Sequence[str]
    ) -> int:
        """Send a heartbeat; return how many bytes were sent."""
        sent_bytes = 0
        older = [host for host in hosts if host in self._older_peers.hosts]
        if older:
            hosts = [host for host in hosts if host not in older]
            converted = self._older_peers.convert(heartbeat)
            sent_bytes = self._send_to_all(converted, older)
        return sent_bytes + self._send_to_all(heartbeat, hosts)

    def _send_to_all(
        self, message: messages.Message, hosts: typing.Sequence[str]
    ) -> int:
        """Send a message; return how many bytes were sent."""
        raw = messages.encode_message(message)
        sent_bytes = len(raw) * len(hosts)
        self._counters[_Count.PEER_BYTES] += sent_bytes
        for host in hosts:
            self._send(raw, host)
        return sent_bytes


def _encode_sorted(
    upstreams: typing.Iterable[records.Upstream],
) -> list[tuple]:
    """Return upstreams as arrays, in the same order on all VMs."""
    return messages.encode_upstreams(
        sorted(upstreams, key=lambda upstream: upstream.upstream_id)
    )


def _age_ms(confirmed_at: float, now: float) -> int:
    if confirmed_at == -math.inf:
        return -1
    return max(0, round((now - confirmed_at) * 1000))
