"""All hooks that a plug-in can implement, and the interfaces they return.

A plug-in is a module or object with functions named like the hooks below and
marked with ``savoryhaven.hookimpl``. The built-in features are plug-ins too;
``plugins`` registers them. Further ones are named under ``plugins`` in the
settings. Hooks marked *first result* are called in reverse order of
registration until one returns a value other than None, so a later plug-in
takes precedence.

    >>> import savoryhaven
    >>> @savoryhaven.hookimpl
    ... def savoryhaven_protocols():
    ...     return [MyProtocol()]
"""

from __future__ import annotations

import typing

import pluggy

from _savoryhaven import clock

if typing.TYPE_CHECKING:
    import random

    from _savoryhaven import addresses
    from _savoryhaven.model import packets as tagged_packets
    from _savoryhaven.model import records
    from _savoryhaven.operation import settings as tagged_settings
    from _savoryhaven.tracking import flows
    from _savoryhaven.tracking import packets
    from _savoryhaven.tracking import settings as settings_module

Clock = clock.Clock
NAMESPACE = 'savoryhaven'

hookspec = pluggy.HookspecMarker(NAMESPACE)
hookimpl = pluggy.HookimplMarker(NAMESPACE)


class FlowProtocol(typing.Protocol):
    """The rules of a protocol over TCP or UDP that placement depends on.

    ``idle_timeout_s``: a flow ends after this time without packets from its
    client. ``copy_window_s``: how long after a crash of the owner an opening
    packet may belong to a flow that is already open. ``tombstone_s``: how long
    after a refusal a copy of the refused packet may arrive.
    ``closing_linger_s``: how long a flow is still tracked after its end.
    """

    name: str
    idle_timeout_s: float
    copy_window_s: float
    closing_linger_s: float
    tombstone_s: float

    def classify(self, packet: packets.Packet) -> flows.Role:
        """Return whether a client's packet opens or closes its flow."""

    def is_closing(self, packet: packets.Packet) -> bool:
        """Return whether a packet of a known flow ends it."""

    def identify_opening(self, packet: packets.Packet) -> bytes:
        """Return a key that all copies of an opening packet share."""

    def build_refusal(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return a packet that reports: not run, retry later."""

    def build_unknown_outcome(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return a packet that reports: unknown whether it was run."""


class StoredObject(typing.Protocol):
    """An object of the platform with its version."""

    version: str
    value: typing.Any


class ObjectNames(typing.Protocol):
    """The names of all objects of a kind, as of a revision."""

    revision: int
    names: tuple[str, ...]


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
        """Return the object once it has another version, else None.

        The wait for another version ends after ``wait_s`` seconds.
        """

    async def write_object(
        self, kind: str, name: str, value: typing.Any, *, expected: str
    ) -> str:
        """Write if the version is the expected one; return the new version.

        Raises ``ConflictError`` if it is not. An empty version stands for
        an object that does not exist yet.
        """

    async def delete_object(self, kind: str, name: str) -> bool:
        """Delete an object; return whether there was one."""

    async def list_objects(self, kind: str) -> ObjectNames:
        """Return the names of all objects of a kind.

        This and the next method are called only if evacuations are enabled.
        """

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> ObjectNames | None:
        """Return the names once they have another revision, else None.

        The wait for another revision ends after ``wait_s`` seconds.
        """

    async def list_vms(self) -> tuple[int, list[PlatformVm]]:
        """Return the revision of the list of VMs, and the list."""

    async def close(self) -> None:
        """Release connections."""


class MetadataStore(typing.Protocol):
    """A store of routes, upstreams and evacuations, with revisions.

    Each call may raise ``PlatformError``; it takes ``timeout_s`` seconds at
    most. After a ``HistoryGoneError`` of a watch, callers have to list again.
    """

    async def read_configuration(
        self, timeout_s: float
    ) -> records.ConfigurationChange:
        """Return the configuration, and the store's revision."""

    async def watch_configuration(
        self, revision: int, wait_s: float, timeout_s: float
    ) -> records.ConfigurationChange:
        """Return changes since a revision; waits ``wait_s`` for the first."""

    async def list_upstreams(
        self, timeout_s: float, after: str = ''
    ) -> records.UpstreamSnapshot:
        """Return the page of upstreams that follows the name ``after``."""

    async def watch_upstreams(
        self, revision: int, wait_s: float, timeout_s: float
    ) -> records.UpstreamChanges:
        """Return changes since a revision; waits ``wait_s`` for the first."""

    async def list_evacuations(
        self, timeout_s: float
    ) -> records.EvacuationSnapshot:
        """Return all evacuated failure domains.

        Called only if the setting ``evacuation`` is on, as is the next one.
        """

    async def watch_evacuations(
        self, position: int, wait_s: float, timeout_s: float
    ) -> records.EvacuationChanges:
        """Return changes since a position; waits ``wait_s`` for the first."""


class TaggedPlatform(typing.Protocol):
    """A platform whose packets carry a tag that names their upstream."""

    codec: tagged_packets.PacketCodec

    def open_store(
        self, settings: tagged_settings.StoreSettings
    ) -> MetadataStore:
        """Return a client of the store; it connects only when called."""

    def decode_configuration(
        self, document: bytes
    ) -> records.RoutingConfiguration:
        """Return the configuration in a document from a peer.

        Raises ``PlatformError`` ``SH303``.
        """


class DatagramSocket(typing.Protocol):
    """One bound datagram socket."""

    def send(self, data: bytes, address: addresses.Address) -> None:
        """Send without waiting; drops the datagram if the buffer is full."""

    def close(self) -> None:
        """Close the socket."""


class Listener(typing.Protocol):
    """A bound address that accepts connections until it is closed."""

    async def close(self) -> None:
        """Stop listening and drop open connections."""


class Transport(typing.Protocol):
    """Communication of a VM with the fabric and with other VMs."""

    async def open_datagrams(
        self,
        address: addresses.Address,
        receive: typing.Callable[[bytes], None],
    ) -> DatagramSocket:
        """Bind an address and call ``receive`` with each datagram."""

    async def open_requests(
        self,
        address: addresses.Address,
        handle: typing.Callable[[bytes], typing.Awaitable[bytes]],
    ) -> Listener:
        """Bind an address and answer each request with ``handle``.

        If ``handle`` raises ``SavoryhavenError``, the connection is closed.
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
    """Return protocols that services may refer to by name."""


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
    """Return the transport for datagrams and requests. First result."""


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
    """Return additional sections of the dump of a process's state, by name."""
