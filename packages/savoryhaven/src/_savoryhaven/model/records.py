"""Records of routes and upstreams that all parts of a VM use."""

import enum
import math
import typing

import attrs

from _savoryhaven.model import packets

# IPv4 address and port of a service, as numbers.
Destination = tuple[int, int]


# Maximum lifetime of a flow on the users' platform, for configurations whose
# idle timeout can't be read.
DEFAULT_IDLE_TIMEOUT_S = 60.0
# A route whose timeout can't be read: longer than any deadline of clients.
DEFAULT_TIMEOUT_S = 10.0


class RequestKind(enum.Enum):
    """How a request with an unknown outcome may be handled.

    A request of an ``UNKNOWN`` kind may run once only.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    DOWNLOAD = 'download'
    UPLOAD = 'upload'
    UNKNOWN = 'unknown'

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)


@attrs.frozen(repr=False)
class Backend:
    """A service that gets a share of a route's new flows."""

    service: str
    weight: int


@attrs.frozen(kw_only=True, repr=False)
class Route:
    """The backends of one destination. ``priority`` 0 is the highest.

    The defaults hold for values that can't be read: without a latency target
    no flow is refused for its expected latency.
    """

    name: str
    destination: Destination
    backends: tuple[Backend, ...]
    kind: RequestKind
    timeout_s: float = DEFAULT_TIMEOUT_S
    target_latency_s: float = math.inf
    priority: int = 0

    @property
    def services(self) -> frozenset[str]:
        """Return the services of the route's backends."""
        return frozenset(backend.service for backend in self.backends)


@attrs.frozen(repr=False)
class Service:
    """What the upstreams of a service bear while they are cold.

    They are cold for ``cold_start_s`` after their start, and bear
    ``cold_per_s`` openings per second in that time.
    """

    name: str
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen(kw_only=True, repr=False)
class Finding:
    """A field of a configuration that can't be read.

    ``route`` is the name of the route or service that has the field.
    ``left_out`` is whether the whole route is left out because of it;
    otherwise the field has its default. ``value`` is the start of its text.
    """

    route: str
    field: str
    value: str
    left_out: bool


@attrs.frozen(kw_only=True, repr=False)
class RoutingConfiguration:
    """One version of the configuration.

    ``document`` is the encoded form, which is sent to peers. ``findings`` are
    the fields in it that can't be read.
    """

    version: int
    routes: typing.Mapping[Destination, Route]
    idle_timeout_s: float
    document: bytes = attrs.field(repr=False)
    findings: tuple[Finding, ...] = ()
    services: typing.Mapping[str, Service] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True, repr=False)
class Upstream:
    """An upstream as it last described itself in the store.

    ``wire_id`` (64 bits) is the prefix of each packet to it. ``revision`` is
    the store revision of the last change. ``started_ms`` is the Unix time of
    the upstream's start, ``warm_up_s`` the rest of its warm-up at the time of
    the description.
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
        """Return the tag of this upstream's flows, if no older one has it."""
        return packets.derive_tag(self.wire_id)


@attrs.frozen(repr=False)
class SkippedEntry:
    """An entry of the store that does not describe a usable upstream."""

    name: str
    reason: str


@attrs.frozen(kw_only=True, repr=False)
class UpstreamSnapshot:
    """All upstreams as of a store revision, or one page of them.

    ``more`` is the start of the next page, '' on the last page.
    """

    revision: int
    upstreams: tuple[Upstream, ...]
    skipped: tuple[SkippedEntry, ...] = ()
    more: str = ''


@attrs.frozen(kw_only=True, repr=False)
class UpstreamChanges:
    """Changes of upstreams between two store revisions."""

    since: int
    revision: int
    present: tuple[Upstream, ...] = ()
    removed: tuple[str, ...] = ()
    skipped: tuple[SkippedEntry, ...] = ()


@attrs.frozen(kw_only=True, repr=False)
class EvacuationSnapshot:
    """All evacuated failure domains as of a store revision."""

    revision: int
    domains: tuple[str, ...]
    skipped: tuple[SkippedEntry, ...] = ()


@attrs.frozen(kw_only=True, repr=False)
class EvacuationChanges:
    """Changes of evacuated failure domains between two store revisions.

    Each domain that was written or removed is named once, with its last state.
    """

    since: int
    revision: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    skipped: tuple[SkippedEntry, ...] = ()


@attrs.frozen(kw_only=True, repr=False)
class ConfigurationChange:
    """The configuration as of a store revision, None if unchanged."""

    revision: int
    configuration: RoutingConfiguration | None
