"""Snapshots of a VM's state of a subject, sent to peers in parts.

A snapshot of thousands of upstreams takes a hundred datagrams, more than a
link queues. The VM that needs it requests a few parts at a time, and those
that were lost again, from whichever peer has the same snapshot. Snapshots are
encoded once for all peers, so that VMs that start together are not fully
occupied by it.
"""

import math
import typing
import zlib

import attrs
import cbor2

from _savoryhaven import errors
from _savoryhaven.knowledge import messages
from _savoryhaven.model import digests

# A snapshot of 4,500 routes has about 200 KB when compressed.
PARTS_MAX = 512
DECOMPRESSED_MAX_BYTES = 4 * 1024 * 1024
# Parts of a request are sent without pauses; a longer gap shows that the last
# ones were lost or that the sender has failed.
MAX_PART_GAP_S = 0.15
# Incomplete snapshots that are kept at the same time.
MAX_ASSEMBLIES = 4
# Snapshots of a subject that are kept for peers that have parts of them.
KEPT_SNAPSHOTS = 2
# Parts in a request: at first, more after each complete answer, and at most.
# 16 parts have 18 KB, which a link of 5 Mbit/s passes in 30 ms.
FIRST_WINDOW = 8
WINDOW_GROWTH = 4
WINDOW_MAX = 16
# Rate that a peer gets at least: with more peers at a time, none of them would
# have the snapshot soon, and pass it on.
PEER_MIN_MBPS = 2.5
# Peers that are served at a time by a VM that does not know its link's rate.
DEFAULT_PEERS = 4


@attrs.frozen(eq=False, repr=False)
class Snapshot:
    """A peer's state of a subject; ``age_ms`` is -1 if never confirmed."""

    subject: str
    version: int
    age_ms: int
    body: typing.Any


@attrs.frozen(eq=False, repr=False)
class _EncodedSnapshot:
    """The encoded parts of a snapshot, and the state that they represent."""

    state: typing.Hashable
    version: int
    digest: int
    pieces: list[bytes]


class SnapshotCache:
    """Encodes snapshots, and keeps the last ones of each subject."""

    def __init__(self) -> None:
        # The current one first.
        self._kept: dict[str, list[_EncodedSnapshot]] = {}

    def list_parts(
        self,
        request: messages.SnapshotRequest,
        *,
        version: int,
        age_ms: int,
        state: typing.Hashable,
        build: typing.Callable[[], typing.Any],
    ) -> list[messages.SnapshotPart]:
        """Return the requested parts of a snapshot.

        They are of the snapshot that the request names, if it is kept, else
        of the current one. ``build`` is called only if ``state`` differs from
        the last call.
        """
        kept = self._kept.setdefault(request.subject, [])
        if not kept or kept[0].state != state:
            _keep(kept, _encode(state, version, build()))
        current, *older = kept
        for encoded in older:
            if encoded.digest == request.digest:
                # It was replaced, so that it is not confirmed any more.
                return _make_parts(request, encoded, encoded.version, -1)
        return _make_parts(request, current, version, age_ms)


def _encode(
    state: typing.Hashable, version: int, body: typing.Any
) -> _EncodedSnapshot:
    data = zlib.compress(cbor2.dumps(body))
    pieces = [
        data[start : start + messages.MAX_PART_BYTES]
        for start in range(0, len(data), messages.MAX_PART_BYTES)
    ]
    digest = digests.compute_digest(data)
    return _EncodedSnapshot(state, version, digest, pieces)


def _keep(kept: list[_EncodedSnapshot], encoded: _EncodedSnapshot) -> None:
    """Make a snapshot the current one; older ones are kept for a while."""
    if kept and kept[0].digest == encoded.digest:
        del kept[0]
    kept.insert(0, encoded)
    del kept[KEPT_SNAPSHOTS:]


def _make_parts(
    request: messages.SnapshotRequest,
    encoded: _EncodedSnapshot,
    version: int,
    age_ms: int,
) -> list[messages.SnapshotPart]:
    count = len(encoded.pieces)
    # Older builds name no parts, and want all of them.
    wanted = sorted(set(request.wanted)) or range(count)
    return [
        messages.SnapshotPart(
            request.subject,
            version,
            age_ms,
            index,
            count,
            encoded.pieces[index],
            encoded.digest,
        )
        for index in wanted
        if 0 <= index < count
    ]


class ServedPeers:
    """The peers that get parts of snapshots at a time."""

    def __init__(self, link_mbps: float) -> None:
        self._limit: typing.Final = (
            max(1, int(link_mbps / PEER_MIN_MBPS))
            if link_mbps > 0
            else DEFAULT_PEERS
        )
        # When each of them sent its last request, the latest one last.
        self._requested_at: dict[str, float] = {}

    def admit(self, host: str, now: float) -> bool:
        """Return whether a peer's request is served now.

        One that is not asks another VM, or this one again.
        """
        for other, requested_at in list(self._requested_at.items()):
            if now - requested_at <= MAX_PART_GAP_S:
                break
            del self._requested_at[other]
        if self._requested_at.pop(host, None) is None:
            if len(self._requested_at) >= self._limit:
                return False
        self._requested_at[host] = now
        return True

    def release(self, host: str) -> None:
        """Record that a peer got its last part, and asks no more."""
        self._requested_at.pop(host, None)


@attrs.define(eq=False, repr=False)
class _Assembly:
    """The parts of a snapshot that have arrived."""

    version: int
    count: int
    parts: dict[int, bytes] = attrs.field(factory=dict)

    def describe(self) -> str:
        """Return the version, and how many of its parts have arrived."""
        return f'{self.version}: {len(self.parts)} of {self.count}'

    def list_missing(self) -> list[int]:
        """Return the parts that have not arrived."""
        return [n for n in range(self.count) if n not in self.parts]


@attrs.define(eq=False, repr=False)
class _Pending:
    """The last request for parts of a subject.

    ``digest`` is zero until its first part has arrived. ``missing`` are the
    parts that have not arrived since, ``size`` is how many were requested.
    """

    host: str
    digest: int
    missing: set[int]
    size: int


class SnapshotAssembler:
    """Collects the parts of snapshots, and chooses which ones to request.

    Parts with the same digest belong to the same snapshot, whichever peer
    they come from. Those of older builds have none, and can't be mixed with
    other senders' parts, as peers may encode the same state differently.
    """

    def __init__(self, vm_id: str = '') -> None:
        self._vm_id: typing.Final = vm_id
        # By subject, digest, and the sender's host for parts without digest.
        self._assemblies: dict[tuple[str, int, str], _Assembly] = {}
        self._pending: dict[str, _Pending] = {}
        self._arrived_at: dict[str, float] = {}
        self._window = FIRST_WINDOW

    def is_arriving(self, subject: str, now: float) -> bool:
        """Return whether parts of a snapshot are still arriving."""
        arrived_at = self._arrived_at.get(subject, -math.inf)
        return now - arrived_at < MAX_PART_GAP_S

    def describe_incomplete(self, subject: str) -> dict[str, str]:
        """Return the version and the parts of each incomplete snapshot.

        The keys are digests, or the senders' hosts for those without.
        """
        return {
            host or f'{digest:08x}': assembly.describe()
            for (kind, digest, host), assembly in self._assemblies.items()
            if kind == subject
        }

    def make_request(
        self, subject: str, version: int, host: str
    ) -> messages.SnapshotRequest:
        """Return a request for the next parts of a peer's snapshot.

        Only missing parts are requested of a version that has begun to
        arrive. What is left of the last request was lost.
        """
        self._note_lost(subject)
        for (kind, digest, _), assembly in self._assemblies.items():
            if kind == subject and digest and assembly.version == version:
                missing = assembly.list_missing()
                return self._make_request(subject, digest, missing, host)
        first = list(range(self._window))
        return self._make_request(subject, 0, first, host)

    def continue_request(
        self, part: messages.SnapshotPart, host: str
    ) -> messages.SnapshotRequest | None:
        """Return the request that follows a part; None if more is to come.

        Parts are sent in order, so that what is missing when the last one of
        a request arrives was lost. A link that queues too little loses the
        last ones, so this says nothing about the size of requests.
        """
        pending = self._pending.get(part.subject)
        assembly = self._assemblies.get((part.subject, part.digest, ''))
        if pending is None or assembly is None or pending.host != host:
            return None
        if pending.digest != part.digest:
            # The first part, or the sender has a newer snapshot by now.
            pending.digest = part.digest
            pending.missing &= set(range(part.count))
            pending.size = len(pending.missing)
        if part.index not in pending.missing:
            return None
        is_last = part.index == max(pending.missing)
        pending.missing.discard(part.index)
        if not is_last:
            return None
        if not pending.missing:
            self._window = min(WINDOW_MAX, self._window + WINDOW_GROWTH)
        missing = assembly.list_missing()
        return self._make_request(part.subject, part.digest, missing, host)

    def _note_lost(self, subject: str) -> None:
        """Request fewer parts at a time, if some of the last were lost."""
        pending = self._pending.pop(subject, None)
        if pending is None or not pending.missing:
            return
        arrived = pending.size - len(pending.missing)
        # A peer that does not answer says nothing about the link.
        if arrived:
            self._window = min(self._window, arrived)

    def _make_request(
        self, subject: str, digest: int, missing: list[int], host: str
    ) -> messages.SnapshotRequest:
        wanted = tuple(missing[: self._window])
        self._pending[subject] = _Pending(
            host, digest, set(wanted), len(wanted)
        )
        return messages.SnapshotRequest(self._vm_id, subject, digest, wanted)

    def add(
        self, part: messages.SnapshotPart, host: str, now: float
    ) -> Snapshot | None:
        """Add a part; return the snapshot once it is complete.

        Raise ``PeerError`` ``SH402`` for invalid parts.
        """
        if not 0 <= part.index < part.count <= PARTS_MAX:
            raise errors.PeerError(
                errors.Problem(code='SH402', message='part out of range')
            )
        key = (part.subject, part.digest, '' if part.digest else host)
        assembly = self._assemblies.pop(key, None)
        if assembly is None or _is_replaced(assembly, part):
            assembly = _Assembly(part.version, part.count)
        if part.version < assembly.version and not part.digest:
            self._assemblies[key] = assembly
            return None
        assembly.parts[part.index] = part.data
        if len(assembly.parts) == part.count:
            if part.subject != messages.PLACES:
                # Places of several peers add to each other.
                self.forget(part.subject)
            body = _join([assembly.parts[n] for n in range(part.count)])
            return Snapshot(part.subject, part.version, part.age_ms, body)
        self._arrived_at[part.subject] = now
        self._assemblies[key] = assembly
        if len(self._assemblies) > MAX_ASSEMBLIES:
            del self._assemblies[next(iter(self._assemblies))]
        return None

    def forget(self, subject: str) -> None:
        """Delete what is left of transfers once one is complete."""
        self._arrived_at.pop(subject, None)
        self._pending.pop(subject, None)
        for key in [key for key in self._assemblies if key[0] == subject]:
            del self._assemblies[key]


def _is_replaced(assembly: _Assembly, part: messages.SnapshotPart) -> bool:
    """Return whether a part belongs to a newer snapshot than the others."""
    if part.digest:
        return part.count != assembly.count
    return part.version > assembly.version


def _join(pieces: list[bytes]) -> typing.Any:
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(b''.join(pieces), DECOMPRESSED_MAX_BYTES)
        return cbor2.loads(data)
    except Exception as exc:  # noqa: B902 - any bytes may come
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'invalid snapshot: {exc!r}')
        ) from exc
