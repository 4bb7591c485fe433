"""A plug-in that breaks a VM on purpose, to prove that the soak notices.

A VM with it resets each flow that it has not seen before, as a balancer
would that keeps its flows in memory only.
"""

import typing

from _savoryhaven.datapath import forwarder
from _savoryhaven.datapath import packets

_receive_later = forwarder.Forwarder._receive_later


def _reset_unseen(
    self: forwarder.Forwarder, packet: packets.FlowPacket, now: float
) -> typing.Any:
    known = self.flows.get(packet.key) or self.openings.get(packet.key)
    if known is None and packet.payload_bytes:
        reset = self._codec.encode_reset(packet)
        self._outlets.send_to_client(reset, packet.key)
        return None
    return _receive_later(self, packet, now)


forwarder.Forwarder._receive_later = _reset_unseen
