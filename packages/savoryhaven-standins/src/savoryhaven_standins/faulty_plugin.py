"""A faulty plug-in for the test that the soak detects violations.

A VM with this plug-in resets flows whose opening it has not seen, like a load
balancer that keeps its flow table only in memory.
"""

import typing

from _savoryhaven.datapath import forwarder
from _savoryhaven.model import packets

_receive_established = forwarder.Forwarder._receive_established


def _reset_unseen(
    self: forwarder.Forwarder, packet: packets.FlowPacket, now: float
) -> typing.Any:
    known = self.flows.get(packet.key) or self.openings.get(packet.key)
    if known is None and packet.payload_bytes:
        reset = self._codec.encode_reset(packet)
        self._outputs.send_to_client(reset, packet.key)
        return None
    return _receive_established(self, packet, now)


forwarder.Forwarder._receive_established = _reset_unseen
