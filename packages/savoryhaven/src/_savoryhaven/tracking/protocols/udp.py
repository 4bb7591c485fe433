"""Plain UDP: the first packet opens a flow; there are no refusals."""

import typing

from _savoryhaven.tracking import flows
from _savoryhaven.tracking import packets

IDLE_TIMEOUT_S = 300.0


class Udp:
    """Classifies every datagram as an opening."""

    name: typing.Final = 'udp'
    idle_timeout_s: typing.Final = IDLE_TIMEOUT_S
    copy_window_s: typing.Final = IDLE_TIMEOUT_S
    closing_linger_s: typing.Final = 0.0
    tombstone_s: typing.Final = 0.0

    def classify(self, packet: packets.Packet) -> flows.Role:
        """Return OPENING: a datagram without a flow starts one."""
        return flows.Role.OPENING

    def is_closing(self, packet: packets.Packet) -> bool:
        """Return False: UDP flows end by idle timeout."""
        return False

    def identify_opening(self, packet: packets.Packet) -> bytes:
        """Return the flow's key: a copy looks like a new datagram."""
        return flows.make_flow_key(packet)

    def build_refusal(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return None: UDP has no refusal, the packet is dropped."""
        return None

    def build_unknown_outcome(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return None: UDP can't signal an unknown outcome."""
        return None
