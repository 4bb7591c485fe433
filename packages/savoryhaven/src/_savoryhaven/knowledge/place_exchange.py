"""Exchanges the places of flows between VMs.

New places are announced at once. A VM that starts requests those that its
peers know, and all compare theirs afterwards, as announcements may be lost or
sent while VMs are cut off from each other.
"""

import collections
import math
import random
import typing

from _savoryhaven.knowledge import flow_places as flow_places_module
from _savoryhaven.knowledge import members as members_module
from _savoryhaven.knowledge import messages
from _savoryhaven.knowledge import snapshots
from _savoryhaven.model import digests
from _savoryhaven.model import packets
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

# The places of flows go to all VMs of the domain, as the fabric sends a flow's
# packets there, and to so many of each other domain, as all VMs of one domain
# may fail at once. One with fewer other VMs than this announces to all VMs.
PLACE_PEERS_MIN = 4
PLACE_REMOTE_PEERS = 2
# Peers that a VM which has started asks for the places of flows at a time: of
# its own domain and of others, ready ones and others.
PLACE_REQUESTS = 3
# Longest wait for an answer: some round trips between failure domains.
PLACES_WAIT_S = 0.05
# Interval between requests until a peer that knows the places has answered.
PLACES_RETRY_S = 0.1
# A VM that has found no such peer within this time after its start takes it
# that there is none. If a tenth of a fleet goes on while the others start, one
# in a hundred of these hears of none in that time.
PLACES_UNKNOWN_MAX_S = 2.5
# Least interval between comparisons that lead to a request, and what a place
# has in an answer. Requests use this share of what heartbeats leave.
PLACES_INTERVAL_S = 1.0
PLACE_ENCODED_BYTES = 24
PLACES_SHARE = 0.5

_Count = counters_module.Count


class PlaceExchange:
    """Requests places from peers, and answers their requests.

    ``send`` sends a message to a host; ``get_spare_rate`` returns how many
    bytes per second announcements may use.
    """

    def __init__(
        self,
        *,
        places: flow_places_module.FlowPlaces,
        members: members_module.Members,
        failure_domain: str,
        assembler: snapshots.SnapshotAssembler,
        cache: snapshots.SnapshotCache,
        send: typing.Callable[[messages.Message, str], None],
        get_spare_rate: typing.Callable[[], float],
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
    ) -> None:
        self._places: typing.Final = places
        self._members: typing.Final = members
        self._failure_domain: typing.Final = failure_domain
        self._assembler: typing.Final = assembler
        self._cache: typing.Final = cache
        self._send: typing.Final = send
        self._get_spare_rate: typing.Final = get_spare_rate
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self._started_at = math.inf
        # Whether this VM knows the places that its peers know.
        self._known = False
        # The hosts that were asked and have not answered, by whether they are
        # in the same failure domain and ready.
        self._asked: dict[str, tuple[bool, bool]] = {}
        # The hosts that did not know the places either.
        self._unknown_hosts: set[str] = set()
        self._requested_at = -math.inf
        self._retried = False
        self._due_at = -math.inf
        self._compared_at = -math.inf
        self._interval_s = PLACES_INTERVAL_S
        # The places of the last answer to a peer, and when it was encoded.
        self._sent: tuple[packets.FlowPlace, ...] | None = None
        self._encoded_at = -math.inf

    def list_hosts(self, now: float) -> list[str]:
        """Return the hosts of the VMs that get new places."""
        by_domain = collections.defaultdict(list)
        for member in self._members.list_live(now):
            domain = member.heartbeat.failure_domain
            by_domain[domain].append(member.address.host)
        chosen = by_domain.pop(self._failure_domain, [])
        most = PLACE_REMOTE_PEERS
        if len(chosen) < PLACE_PEERS_MIN:
            most = len(self._members)
        for hosts in by_domain.values():
            chosen += self._random.sample(hosts, min(most, len(hosts)))
        return chosen

    def is_awaiting(self, now: float) -> bool:
        """Return whether a VM that has started should wait for an answer."""
        return now < self._due_at

    def learn(
        self, heartbeat: messages.Heartbeat, host: str, now: float
    ) -> None:
        """Request what a peer knows, soon after the start.

        The fabric sends packets of flows that are open already to a VM that
        starts. Peers that have just started do not know these flows either:
        their answers are not sufficient, and those that are not ready may
        not answer.
        """
        if self._known or host in self._unknown_hosts:
            return
        near = heartbeat.failure_domain == self._failure_domain
        kind = near, heartbeat.ready
        if self._asked.get(host) == kind:
            return
        if list(self._asked.values()).count(kind) >= PLACE_REQUESTS:
            return
        self._asked[host] = kind
        knows = heartbeat.ready and not digests.is_weak(
            heartbeat.catalogue_digest
        )
        if knows and self._due_at == -math.inf:
            self._due_at = now + PLACES_WAIT_S
        self._request(host, now)

    def retry(self, now: float) -> None:
        """Request places again if no peer that knows them has answered.

        All peers may have started at the same time, so that none knows them.
        """
        self._started_at = min(now, self._started_at)
        if self._known:
            return
        if now - self._started_at > PLACES_UNKNOWN_MAX_S:
            self._note_known(source='')
            return
        if now - self._requested_at < PLACES_RETRY_S:
            return
        ready = [
            member.address.host
            for member in self._members.list_live(now)
            if member.heartbeat.ready
        ]
        if not ready:
            return
        if self._is_unanswered() and not self._retried:
            # Not again, as packets wait in the socket meanwhile.
            self._retried = True
            self._due_at = now + PLACES_WAIT_S
        self._request(self._random.choice(ready), now)

    def receive(
        self, received: snapshots.Snapshot, host: str, now: float
    ) -> None:
        """Add the places in a peer's answer."""
        known = messages.decode_places(received.body)
        sent_at = now - max(0, received.age_ms) / 1000
        self._places.merge(known, sent_at=sent_at, now=now)
        rate = PLACES_SHARE * self._get_spare_rate()
        self._interval_s = max(
            PLACES_INTERVAL_S, len(known) * PLACE_ENCODED_BYTES / rate
        )
        self._asked.pop(host, None)
        if received.version == messages.PLACES_UNKNOWN:
            self._unknown_hosts.add(host)
        else:
            self._assembler.forget(messages.PLACES)
            self._note_known(source=host)
        if self._known or not self._is_unanswered():
            self._due_at = min(now, self._due_at)

    def make_comparison(self, now: float) -> messages.CatalogueNotice:
        """Return the message by which peers compare places."""
        if not self._known:
            return messages.make_digest_notice(messages.NO_PLACES_DIGEST)
        return messages.make_digest_notice(self._places.compute_digest(now))

    def compare(self, digest: int, host: str, now: float) -> None:
        """Request a peer's places if they differ from those of this VM.

        The peer requests what it lacks in the same way.
        """
        if not self._known or digest == messages.NO_PLACES_DIGEST:
            return
        if now - self._compared_at < self._interval_s:
            return
        if digest == self._places.compute_digest(now):
            return
        self._compared_at = now
        self._counters[_Count.PLACES_COMPARED] += 1
        self._request(host, now)

    def list_parts(
        self, request: messages.SnapshotRequest, now: float, *, ready: bool
    ) -> list[messages.SnapshotPart]:
        """Return the answer to a request, also if there are no places.

        A VM that has just started does not know whether there are any; it
        answers with those that it has heard of, or once it is ``ready``.
        """
        shared = self._places.list_shared(now)
        places = tuple(aged.place for aged in shared)
        if not (places or ready or self._known):
            return []
        if places != self._sent:
            self._sent = places
            self._encoded_at = now
        version = messages.PLACES_UNKNOWN
        if self._known:
            version = messages.PLACES_KNOWN
        return self._cache.list_parts(
            request,
            version=version,
            # Their ages were encoded then.
            age_ms=max(0, round((now - self._encoded_at) * 1000)),
            state=places,
            build=lambda: messages.encode_places(shared),
        )

    def _request(self, host: str, now: float) -> None:
        self._requested_at = now
        self._send(
            self._assembler.make_request(messages.PLACES, 0, host), host
        )

    def _is_unanswered(self) -> bool:
        """Return whether a ready peer has not answered yet."""
        return any(ready for _, ready in self._asked.values())

    def _note_known(self, *, source: str) -> None:
        """Record that no peer is known to know more than this VM.

        ``source`` is the host that sent places, empty if no peer knew any.
        """
        if self._known:
            return
        self._known = True
        self._asked.clear()
        self._unknown_hosts.clear()
        self._events.emit(
            'places_known', source=source, places=len(self._places)
        )
