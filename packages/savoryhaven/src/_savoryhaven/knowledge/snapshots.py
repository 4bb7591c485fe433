"""Snapshots of a VM's state of a subject, sent to peers in parts.

A snapshot of thousands of upstreams takes a hundred datagrams. It is encoded
once for all peers that request it, and not requested again while its parts
arrive. Otherwise VMs that start together would be fully occupied by it.
"""

import math
import typing
import zlib

import attrs
import cbor2

from _savoryhaven import errors
from _savoryhaven.knowledge import messages

# A snapshot of 4,500 routes has about 200 KB when compressed.
PARTS_MAX = 512
DECOMPRESSED_MAX_BYTES = 4 * 1024 * 1024
# Parts are sent without pauses; a longer gap shows that one was lost or that
# the sender has failed.
MAX_PART_GAP_S = 0.3
# Peers whose incomplete snapshots are kept at the same time.
MAX_SENDERS = 4


@attrs.frozen(eq=False, repr=False)
class Snapshot:
    """A peer's state of a subject; ``age_ms`` is -1 if never confirmed."""

    subject: str
    version: int
    age_ms: int
    body: typing.Any


@attrs.frozen(eq=False, repr=False)
class _CachedParts:
    """The encoded parts of a snapshot, and the state that they represent."""

    state: typing.Hashable
    pieces: list[bytes]


class SnapshotCache:
    """Encodes snapshots, and keeps the last one of each subject."""

    def __init__(self) -> None:
        self._built: dict[str, _CachedParts] = {}

    def list_parts(
        self,
        subject: str,
        *,
        version: int,
        age_ms: int,
        state: typing.Hashable,
        build: typing.Callable[[], typing.Any],
    ) -> list[messages.SnapshotPart]:
        """Return the parts of a snapshot.

        ``build`` is called only if ``state`` differs from the last call.
        """
        built = self._built.get(subject)
        if built is None or built.state != state:
            built = _CachedParts(state, _split(build()))
            self._built[subject] = built
        return [
            messages.SnapshotPart(
                subject, version, age_ms, index, len(built.pieces), piece
            )
            for index, piece in enumerate(built.pieces)
        ]


class SnapshotAssembler:
    """Collects the parts of snapshots for each sender.

    Parts of different senders can't be mixed, as peers may encode the same
    state in different orders.
    """

    def __init__(self) -> None:
        self._assemblies: dict[tuple[str, str], _Assembly] = {}
        self._arrived_at: dict[str, float] = {}

    def is_arriving(self, subject: str, now: float) -> bool:
        """Return whether parts of a snapshot are still arriving."""
        arrived_at = self._arrived_at.get(subject, -math.inf)
        return now - arrived_at < MAX_PART_GAP_S

    def describe_incomplete(self, subject: str) -> dict[str, str]:
        """Return the version and the parts of each incomplete snapshot.

        The keys are the hosts of its senders.
        """
        return {
            host: assembly.describe()
            for (kind, host), assembly in self._assemblies.items()
            if kind == subject
        }

    def add(
        self, part: messages.SnapshotPart, host: str, now: float
    ) -> Snapshot | None:
        """Add a part; return the snapshot once it is complete.

        Raise ``PeerError`` ``SH402`` for invalid parts.
        """
        key = (part.subject, host)
        assembly = self._assemblies.pop(key, None) or _Assembly()
        body = assembly.add(part)
        if body is not None:
            self._arrived_at.pop(part.subject, None)
            return Snapshot(part.subject, part.version, part.age_ms, body)
        self._arrived_at[part.subject] = now
        self._assemblies[key] = assembly
        if len(self._assemblies) > MAX_SENDERS:
            del self._assemblies[next(iter(self._assemblies))]
        return None


class _Assembly:
    """The parts of one peer's snapshot; a newer version replaces them."""

    def __init__(self) -> None:
        self._version = 0
        self._count = 0
        self._parts: dict[int, bytes] = {}

    def describe(self) -> str:
        """Return the version, and how many of its parts have arrived."""
        return f'{self._version}: {len(self._parts)} of {self._count}'

    def add(self, part: messages.SnapshotPart) -> typing.Any | None:
        """Add a part; return the body once it is complete."""
        if part.version < self._version:
            return None
        if not 0 <= part.index < part.count <= PARTS_MAX:
            raise errors.PeerError(
                errors.Problem(code='SH402', message='part out of range')
            )
        if part.version > self._version:
            self._version = part.version
            self._count = part.count
            self._parts.clear()
        self._parts[part.index] = part.data
        if len(self._parts) < part.count:
            return None
        return _join([self._parts[index] for index in range(part.count)])


def _split(body: typing.Any) -> list[bytes]:
    data = zlib.compress(cbor2.dumps(body))
    return [
        data[start : start + messages.MAX_PART_BYTES]
        for start in range(0, len(data), messages.MAX_PART_BYTES)
    ]


def _join(pieces: list[bytes]) -> typing.Any:
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(b''.join(pieces), DECOMPRESSED_MAX_BYTES)
        return cbor2.loads(data)
    except Exception as exc:  # noqa: B902 - any bytes may come
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'invalid snapshot: {exc!r}')
        ) from exc
