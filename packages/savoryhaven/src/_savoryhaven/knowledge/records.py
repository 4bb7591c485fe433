"""Routes and upstreams, as all parts of a VM know them."""

import enum
import typing

import attrs

from _savoryhaven.datapath import packets

# Address and port of a service, as numbers.
Destination = tuple[int, int]


class RequestKind(enum.Enum):
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    DOWNLOAD = 'download'


@attrs.frozen(repr=False)
class Backend:
    """A service that takes a share of a route's new flows."""

    service: str
    weight: int


@attrs.frozen(kw_only=True, repr=False)
class Route:
    """Where the flows of one destination go. ``priority`` 0 is highest."""

    name: str
    destination: Destination
    backends: tuple[Backend, ...]
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int

    @property
    def services(self) -> frozenset[str]:
        """Return the services that the route allows."""
        return frozenset(backend.service for backend in self.backends)


@attrs.frozen(kw_only=True, repr=False)
class RoutingConfiguration:
    """One version of the configuration.

    ``document`` holds the bytes that it was decoded from, for peers.
    """

    version: int
    routes: typing.Mapping[Destination, Route]
    idle_timeout_s: float
    document: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True, repr=False)
class Upstream:
    """An upstream as it last described itself.

    ``wire_id`` (64 bits) stands before each packet to it. ``revision`` is
    the store's at the last change of the description. ``started_ms`` is the
    Unix time of the upstream's start, ``warm_up_s`` for how much longer it
    was slow when it said so.
    """

    upstream_id: str
    wire_id: int
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    draining: bool
    warm_up_s: float
    started_ms: int
    revision: int

    @property
    def tag(self) -> int:
        """Return the tag of the flows at this upstream."""
        return packets.derive_tag(self.wire_id)


@attrs.frozen(repr=False)
class SkippedEntry:
    """An entry of the store that describes no usable upstream."""

    name: str
    reason: str


@attrs.frozen(kw_only=True, repr=False)
class UpstreamSnapshot:
    """All upstreams as of a revision of the store, or a page of them.

    ``more`` is where the list goes on, nothing on its last page.
    """

    revision: int
    upstreams: tuple[Upstream, ...]
    skipped: tuple[SkippedEntry, ...] = ()
    more: str = ''


@attrs.frozen(kw_only=True, repr=False)
class UpstreamChanges:
    """What changed between two revisions of the store."""

    since: int
    revision: int
    present: tuple[Upstream, ...] = ()
    removed: tuple[str, ...] = ()
    skipped: tuple[SkippedEntry, ...] = ()


@attrs.frozen(kw_only=True, repr=False)
class ConfigurationChange:
    """The configuration as of a revision, or None if it did not change."""

    revision: int
    configuration: RoutingConfiguration | None
