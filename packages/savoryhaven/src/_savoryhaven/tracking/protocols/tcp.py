"""TCP: SYN opens a flow; FIN and RST end it."""

import typing

import dpkt

from _savoryhaven.tracking import flows
from _savoryhaven.tracking import packets

IDLE_TIMEOUT_S = 3_600.0
# Common stacks retransmit a SYN for about two minutes.
SYN_WINDOW_S = 130.0
# After FIN or RST the last segments of both directions may still arrive.
CLOSING_LINGER_S = 60.0
_SEQUENCE_RANGE = 2**32


class Tcp:
    """Classifies TCP segments and builds refusals."""

    name: typing.Final = 'tcp'
    idle_timeout_s: typing.Final = IDLE_TIMEOUT_S
    copy_window_s: typing.Final = SYN_WINDOW_S
    closing_linger_s: typing.Final = CLOSING_LINGER_S
    tombstone_s: typing.Final = SYN_WINDOW_S

    def classify(self, packet: packets.Packet) -> flows.Role:
        """Return the role of a segment from a client in its flow."""
        flags = packet.tcp_flags
        if flags & (dpkt.tcp.TH_RST | dpkt.tcp.TH_FIN):
            return flows.Role.CLOSING
        if flags & dpkt.tcp.TH_SYN and not flags & dpkt.tcp.TH_ACK:
            return flows.Role.OPENING
        return flows.Role.OTHER

    def is_closing(self, packet: packets.Packet) -> bool:
        """Return whether a segment ends its flow."""
        return bool(packet.tcp_flags & (dpkt.tcp.TH_RST | dpkt.tcp.TH_FIN))

    def identify_opening(self, packet: packets.Packet) -> bytes:
        """Return a key that all copies of an opening packet share."""
        return flows.make_flow_key(packet) + packet.tcp_sequence.to_bytes(4)

    def build_refusal(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return a reset: the connection was not opened."""
        return packets.build_tcp(
            packet.destination,
            packet.destination_port,
            packet.source,
            packet.source_port,
            flags=dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK,
            ack=(packet.tcp_sequence + 1) % _SEQUENCE_RANGE,
        )

    def build_unknown_outcome(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return None: TCP can't signal an unknown outcome."""
        return None
