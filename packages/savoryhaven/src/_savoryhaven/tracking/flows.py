"""The flows that a VM tracks, the refusals it remembers, and their bounds."""

import enum
import typing

import attrs

from _savoryhaven.tracking import packets
from _savoryhaven.tracking import placement

FLOW_KEY_BYTES = 13


class Role(enum.Enum):
    """What a packet does to its flow."""

    OPENING = 'opening'
    CLOSING = 'closing'
    OTHER = 'other'


@attrs.define(eq=False)
class Flow:
    """A flow and the upstream that it stands at.

    ``copied_from`` is the owner that sent a copy, empty for a flow of our own.
    ``pinned`` says that it stands elsewhere than the table would put it,
    ``closing`` that its caller has ended it.
    """

    target: placement.Target
    bucket: int
    seen_at: float
    copied_from: str = ''
    pinned: bool = False
    closing: bool = False


def make_flow_key(packet: packets.Packet) -> bytes:
    """Return the key of a packet's flow, caller first."""
    raw = packet.raw
    start = packet.header_bytes
    return raw[12:20] + raw[start : start + 4] + raw[9:10]


def read_destination_key(flow_key: bytes) -> bytes:
    """Return the key under which tables list the service of a flow."""
    return flow_key[12:13] + flow_key[4:8] + flow_key[10:12]


class FlowTable:
    """Live flows by service and key, bounded, and expired when idle."""

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
        held = self._services.get(service)
        return held.get(key) if held else None

    def is_full(self) -> bool:
        """Return whether no further flow can be tracked."""
        return self._count >= self.limit

    def add(self, service: str, key: bytes, flow: Flow) -> bool:
        """Track a flow, or replace it; returns False at the bound."""
        held = self._services.setdefault(service, {})
        if key not in held:
            if self.is_full():
                return False
            self._count += 1
        held[key] = flow
        return True

    def remove(self, service: str, key: bytes) -> Flow | None:
        """Stop tracking a flow."""
        flow = self._services.get(service, {}).pop(key, None)
        if flow is not None:
            self._count -= 1
        return flow

    def clear(self) -> None:
        """Forget everything."""
        self._services.clear()
        self._count = 0

    def list_services(self) -> list[str]:
        """Return the services that have flows."""
        return [name for name, held in self._services.items() if held]

    def list_keys(self, service: str) -> list[bytes]:
        """Return the keys of a service's flows, as of now."""
        return list(self._services.get(service, ()))

    def take_idle(
        self,
        now: float,
        get_timeout: typing.Callable[[str, bool], float],
        most: int,
    ) -> list[tuple[str, bytes, Flow]]:
        """Remove and return idle flows, looking at ``most`` flows at most.

        A sweep goes through the table piece by piece, so that no call holds
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
        batch = self._sweep_keys[-most:]
        del self._sweep_keys[-most:]
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
    """Refusals by message, kept for the retransmission window.

    At the bound a new refusal can't be remembered, and therefore must not
    be given: ``add`` returns False.
    """

    def __init__(self, limit: int) -> None:
        self.limit: typing.Final = limit
        self._until: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def add(self, key: bytes, until: float, now: float) -> bool:
        """Remember a refusal until a time."""
        if len(self._until) >= self.limit:
            self.expire(now)
        if len(self._until) >= self.limit and key not in self._until:
            return False
        self._until[key] = max(until, self._until.get(key, until))
        return True

    def has(self, key: bytes, now: float) -> bool:
        """Return whether the message was refused and may still come again."""
        until = self._until.get(key)
        return until is not None and now < until

    def items(self) -> typing.Iterable[tuple[bytes, float]]:
        """Return the remembered refusals and their ends."""
        return self._until.items()

    def expire(self, now: float) -> None:
        """Forget the refusals whose window has passed."""
        ended = [key for key, until in self._until.items() if until <= now]
        for key in ended:
            del self._until[key]
