"""Every hook that a plug-in can implement, and the interfaces behind them.

A plug-in is a module or object with functions named like the hooks below and
marked with ``savoryhaven.hookimpl``. The built-in features are plug-ins too;
``plugins`` registers them. Further ones are named under ``plugins`` in the
settings. Hooks marked *first result* are asked in reverse order of
registration until one returns something, so a later plug-in wins.

    >>> import savoryhaven
    >>> @savoryhaven.hookimpl
    ... def savoryhaven_protocols():
    ...     return [MyProtocol()]
"""

from __future__ import annotations

import typing

import pluggy

if typing.TYPE_CHECKING:
    import random

    from _savoryhaven import addresses
    from _savoryhaven.datapath import packets as tagged_packets
    from _savoryhaven.knowledge import records
    from _savoryhaven.operation import settings as tagged_settings
    from _savoryhaven.tracking import flows
    from _savoryhaven.tracking import packets
    from _savoryhaven.tracking import settings as settings_module

NAMESPACE = 'savoryhaven'

hookspec = pluggy.HookspecMarker(NAMESPACE)
hookimpl = pluggy.HookimplMarker(NAMESPACE)


class FlowProtocol(typing.Protocol):
    """What placement has to know about a protocol over TCP or UDP.

    ``idle_timeout_s``: a flow without packets from its caller for so long has
    ended. ``copy_window_s``: for so long after a crash of the owner an opening
    packet may belong to a flow that is already open. ``tombstone_s``: for so
    long after a refusal a copy of the refused packet may arrive.
    ``closing_linger_s``: for so long a flow is still tracked after its end.
    """

    name: str
    idle_timeout_s: float
    copy_window_s: float
    closing_linger_s: float
    tombstone_s: float

    def classify(self, packet: packets.Packet) -> flows.Role:
        """Return what a packet from a caller does to its flow."""

    def is_closing(self, packet: packets.Packet) -> bool:
        """Return whether a packet of a known flow ends it."""

    def identify_opening(self, packet: packets.Packet) -> bytes:
        """Return a key that all copies of an opening packet share."""

    def build_refusal(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return the packet that says: not run, come back in so many s."""

    def build_unknown_outcome(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return the packet that says: whether it was run is unknown."""


class Clock(typing.Protocol):
    """Time as the policy sees it."""

    def read_monotonic(self) -> float:
        """Return seconds that only ever increase."""

    def read_epoch_ms(self) -> int:
        """Return milliseconds since 1970."""


class StoredObject(typing.Protocol):
    """An object of the platform with its version."""

    version: str
    value: typing.Any


class PlatformVm(typing.Protocol):
    """One row of the platform's list of VMs.

    ``role`` is ``entry`` or ``upstream``; ``state`` is ``live`` or
    ``leaving``; ``address`` is a peer address or an upstream's address.
    """

    vm_id: str
    role: str
    state: str
    failure_domain: str
    address: str


class Platform(typing.Protocol):
    """The platform's object API. Every call may raise ``PlatformError``."""

    async def read_object(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None where there is none."""

    async def watch_object(
        self, kind: str, name: str, version: str, wait_s: float
    ) -> StoredObject | None:
        """Return the object once it has another version, None after a wait."""

    async def write_object(
        self, kind: str, name: str, value: typing.Any, *, expected: str
    ) -> str:
        """Write if the version is the expected one; return the new version.

        Raises ``ConflictError`` if it is not. An empty version stands for
        an object that does not exist yet.
        """

    async def list_vms(self) -> tuple[int, list[PlatformVm]]:
        """Return the revision of the list of VMs, and the list."""

    async def close(self) -> None:
        """Release connections."""


class MetadataStore(typing.Protocol):
    """A store of routes and upstreams, with revisions and watches.

    Each call may raise ``PlatformError``; it takes ``timeout_s`` seconds at
    most. A watch may raise ``HistoryGoneError``: list anew then.
    """

    async def read_configuration(
        self, timeout_s: float
    ) -> records.ConfigurationChange:
        """Return the configuration, and the store's revision."""

    async def watch_configuration(
        self, revision: int, wait_s: float, timeout_s: float
    ) -> records.ConfigurationChange:
        """Return what changed since a revision, after a wait at most."""

    async def list_upstreams(
        self, timeout_s: float, after: str = ''
    ) -> records.UpstreamSnapshot:
        """Return a page of all upstreams, the first or one ``after`` it."""

    async def watch_upstreams(
        self, revision: int, wait_s: float, timeout_s: float
    ) -> records.UpstreamChanges:
        """Return what changed since a revision, after a wait at most."""


class TaggedPlatform(typing.Protocol):
    """A platform whose packets carry a tag that places their flow."""

    codec: tagged_packets.PacketCodec

    def open_store(
        self, settings: tagged_settings.StoreSettings
    ) -> MetadataStore:
        """Return a client of the store; connects when it is called."""

    def decode_configuration(
        self, document: bytes
    ) -> records.RoutingConfiguration:
        """Return the configuration in a document that a peer passed on.

        Raises ``PlatformError`` ``SH303``.
        """


class DatagramSocket(typing.Protocol):
    """One bound datagram socket."""

    def send(self, data: bytes, address: addresses.Address) -> None:
        """Send without waiting; a full buffer loses the datagram."""

    def close(self) -> None:
        """Close the socket."""


class Listener(typing.Protocol):
    """Something bound that can be closed."""

    async def close(self) -> None:
        """Stop listening and drop open connections."""


class Transport(typing.Protocol):
    """How a VM talks to the fabric and to other VMs."""

    async def open_datagrams(
        self,
        address: addresses.Address,
        receive: typing.Callable[[bytes], None],
    ) -> DatagramSocket:
        """Bind an address and call a function with each datagram."""

    async def open_requests(
        self,
        address: addresses.Address,
        handle: typing.Callable[[bytes], typing.Awaitable[bytes]],
    ) -> Listener:
        """Bind an address and answer each request with a function.

        A function that raises ``SavoryhavenError`` ends the connection.
        """

    async def request(self, address: addresses.Address, data: bytes) -> bytes:
        """Send a request and return its answer.

        Requests to one address are answered in order. Raises ``PeerError``
        ``SH403`` when there is no answer.
        """

    async def close(self) -> None:
        """Close the connections that requests were sent over."""


@hookspec
def savoryhaven_protocols() -> list[FlowProtocol]:
    """Return protocols that services may name."""


@hookspec(firstresult=True)
def savoryhaven_platform(
    settings: settings_module.PlatformSettings,
) -> Platform | None:
    """Return the client of the platform. First result."""


@hookspec(firstresult=True)
def savoryhaven_tagged_platform(
    settings: tagged_settings.Settings,
) -> TaggedPlatform | None:
    """Return the platform whose packets carry tags. First result."""


@hookspec(firstresult=True)
def savoryhaven_transport(
    settings: settings_module.Settings,
) -> Transport | None:
    """Return the transport for datagrams. First result."""


@hookspec(firstresult=True)
def savoryhaven_clock() -> Clock | None:
    """Return the clock. First result."""


@hookspec(firstresult=True)
def savoryhaven_random(
    settings: settings_module.Settings,
) -> random.Random | None:
    """Return the source of random numbers. First result."""


@hookspec
def savoryhaven_dump() -> dict[str, typing.Any] | None:
    """Return further parts of the dump of a process's state, by name."""
