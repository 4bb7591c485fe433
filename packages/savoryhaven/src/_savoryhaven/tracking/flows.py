"""Bounded tables of tracked flows and of refused messages."""

import enum
import typing

import attrs

from _savoryhaven.tracking import packets
from _savoryhaven.tracking import placement

# Source and destination address, source and destination port, IP protocol.
FLOW_KEY_BYTES = 13


class Role(enum.Enum):
    """The effect of a packet on its flow."""

    OPENING = 'opening'
    CLOSING = 'closing'
    OTHER = 'other'


@attrs.define(eq=False)
class Flow:
    """A flow and its upstream.

    ``copied_from`` is the owner that sent a copy, empty for flows that this VM
    owns. A ``pinned`` flow is not at the upstream that the table derives. A
    ``closing`` flow was ended by its client.
    """

    target: placement.Target
    bucket: int
    seen_at: float
    copied_from: str = ''
    pinned: bool = False
    closing: bool = False


def make_flow_key(packet: packets.Packet) -> bytes:
    """Return the key of a client packet's flow."""
    raw = packet.raw
    start = packet.header_bytes
    return raw[12:20] + raw[start : start + 4] + raw[9:10]


def read_destination_key(flow_key: bytes) -> bytes:
    """Return the table key of the service of a flow."""
    return flow_key[12:13] + flow_key[4:8] + flow_key[10:12]


class FlowTable:
    """A bounded table of flows by service and key, with idle expiry."""

    def __init__(self, limit: int) -> None:
        self.limit: typing.Final = limit
        self._services: dict[str, dict[bytes, Flow]] = {}
        self._count = 0
        self._sweep_services: list[str] = []
        self._sweep_service = ''
        self._sweep_keys: list[bytes] = []

    def __len__(self) -> int:
        return self._count

    def get(self, service: str, key: bytes) -> Flow | None:
        """Return the flow, or None."""
        service_flows = self._services.get(service)
        return service_flows.get(key) if service_flows else None

    def is_full(self) -> bool:
        """Return whether the table has reached its limit."""
        return self._count >= self.limit

    def add(self, service: str, key: bytes, flow: Flow) -> bool:
        """Add or replace a flow; returns False if the table is full."""
        service_flows = self._services.setdefault(service, {})
        if key not in service_flows:
            if self.is_full():
                return False
            self._count += 1
        service_flows[key] = flow
        return True

    def remove(self, service: str, key: bytes) -> Flow | None:
        """Remove and return a flow, or return None."""
        flow = self._services.get(service, {}).pop(key, None)
        if flow is not None:
            self._count -= 1
        return flow

    def clear(self) -> None:
        """Remove all flows."""
        self._services.clear()
        self._count = 0

    def list_services(self) -> list[str]:
        """Return the services that have flows."""
        return [
            name
            for name, service_flows in self._services.items()
            if service_flows
        ]

    def list_keys(self, service: str) -> list[bytes]:
        """Return a snapshot of the keys of a service's flows."""
        return list(self._services.get(service, ()))

    def take_idle(
        self,
        now: float,
        get_timeout: typing.Callable[[str, bool], float],
        max_flows: int,
    ) -> list[tuple[str, bytes, Flow]]:
        """Remove and return idle flows, examining up to ``max_flows`` flows.

        Successive calls sweep the table in batches, so that no call blocks
        the event loop for long.
        """
        if not self._sweep_keys:
            if not self._sweep_services:
                self._sweep_services = self.list_services()
            if not self._sweep_services:
                return []
            self._sweep_service = self._sweep_services.pop()
            self._sweep_keys = self.list_keys(self._sweep_service)
        service = self._sweep_service
        batch = self._sweep_keys[-max_flows:]
        del self._sweep_keys[-max_flows:]
        idle = []
        for key in batch:
            flow = self.get(service, key)
            if flow and now - flow.seen_at > get_timeout(
                service, flow.closing
            ):
                self.remove(service, key)
                idle.append((service, key, flow))
        return idle


class Tombstones:
    """Refused messages, kept for their retransmission window.

    If the table is full, ``add`` returns False and the message must not be
    refused, as its retransmissions could not be recognised.
    """

    def __init__(self, limit: int) -> None:
        self.limit: typing.Final = limit
        self._until: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def add(self, key: bytes, until: float, now: float) -> bool:
        """Add a refusal that ends at ``until``; returns False if full."""
        if len(self._until) >= self.limit:
            self.expire(now)
        if len(self._until) >= self.limit and key not in self._until:
            return False
        self._until[key] = max(until, self._until.get(key, until))
        return True

    def has(self, key: bytes, now: float) -> bool:
        """Return whether the message was refused within its window."""
        until = self._until.get(key)
        return until is not None and now < until

    def items(self) -> typing.Iterable[tuple[bytes, float]]:
        """Return the refusals and the times at which they end."""
        return self._until.items()

    def expire(self, now: float) -> None:
        """Remove the refusals whose window has passed."""
        ended = [key for key, until in self._until.items() if until <= now]
        for key in ended:
            del self._until[key]
