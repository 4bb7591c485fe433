"""All that a VM knows of a subject, on its way to a peer in parts.

A snapshot of thousands of upstreams takes a hundred datagrams. It is built
once for all peers that ask, and asked for once while its parts arrive: else
VMs that start together keep each other busy with nothing else.
"""

import math
import typing
import zlib

import attrs
import cbor2

from _savoryhaven import errors
from _savoryhaven.knowledge import messages

# A snapshot of 4,500 routes is about 200 KB compressed.
PARTS_MAX = 512
DECOMPRESSED_MAX_BYTES = 4 * 1024 * 1024
# Parts follow each other at once; after a longer gap, in seconds, one of them
# was lost or the sender has gone.
ARRIVING_S = 0.3
# Peers whose parts are collected at a time: those that were asked in vain.
SENDERS_MAX = 4


@attrs.frozen(eq=False, repr=False)
class Snapshot:
    """What a peer knows of a subject; ``age_ms`` is -1 for never."""

    subject: str
    version: int
    age_ms: int
    body: typing.Any


@attrs.frozen(eq=False, repr=False)
class _Built:
    """Parts that were sent, and the state that they show."""

    state: typing.Hashable
    pieces: list[bytes]


class Outbox:
    """Builds snapshots, and keeps the last one of each subject."""

    def __init__(self) -> None:
        self._built: dict[str, _Built] = {}

    def list_parts(
        self,
        subject: str,
        *,
        version: int,
        age_ms: int,
        state: typing.Hashable,
        build: typing.Callable[[], typing.Any],
    ) -> list[messages.SnapshotPart]:
        """Return the parts of a snapshot; ``state`` differs when it does."""
        built = self._built.get(subject)
        if built is None or built.state != state:
            built = _Built(state, _split(build()))
            self._built[subject] = built
        return [
            messages.SnapshotPart(
                subject, version, age_ms, index, len(built.pieces), piece
            )
            for index, piece in enumerate(built.pieces)
        ]


class Inbox:
    """Collects the parts of snapshots, by who sent them.

    Peers that know the same lay it out in different orders.
    """

    def __init__(self) -> None:
        self._assemblies: dict[tuple[str, str], _Assembly] = {}
        self._arrived_at: dict[str, float] = {}

    def is_arriving(self, subject: str, now: float) -> bool:
        """Return whether parts of a subject's snapshot still arrive."""
        arrived_at = self._arrived_at.get(subject, -math.inf)
        return now - arrived_at < ARRIVING_S

    def take(
        self, part: messages.SnapshotPart, host: str, now: float
    ) -> Snapshot | None:
        """Return a snapshot once all its parts are here.

        Raises ``PeerError`` ``SH402`` for parts that don't join.
        """
        key = (part.subject, host)
        assembly = self._assemblies.pop(key, None) or _Assembly()
        body = assembly.add(part)
        if body is not None:
            self._arrived_at.pop(part.subject, None)
            return Snapshot(part.subject, part.version, part.age_ms, body)
        self._arrived_at[part.subject] = now
        self._assemblies[key] = assembly
        if len(self._assemblies) > SENDERS_MAX:
            del self._assemblies[next(iter(self._assemblies))]
        return None


class _Assembly:
    """The parts of one peer's snapshot; a newer version starts anew."""

    def __init__(self) -> None:
        self._version = 0
        self._parts: dict[int, bytes] = {}

    def add(self, part: messages.SnapshotPart) -> typing.Any | None:
        """Return the body once all its parts are here."""
        if part.version < self._version:
            return None
        if not 0 <= part.index < part.count <= PARTS_MAX:
            raise errors.PeerError(
                errors.Problem(code='SH402', message='a part out of range')
            )
        if part.version > self._version:
            self._version = part.version
            self._parts.clear()
        self._parts[part.index] = part.data
        if len(self._parts) < part.count:
            return None
        return _join([self._parts[index] for index in range(part.count)])


def _split(body: typing.Any) -> list[bytes]:
    data = zlib.compress(cbor2.dumps(body))
    return [
        data[start : start + messages.PART_BYTES]
        for start in range(0, len(data), messages.PART_BYTES)
    ]


def _join(pieces: list[bytes]) -> typing.Any:
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(b''.join(pieces), DECOMPRESSED_MAX_BYTES)
        return cbor2.loads(data)
    except Exception as exc:  # noqa: B902 - any bytes may come
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'not a snapshot: {exc!r}')
        ) from exc
