"""CoAP (RFC 7252): any request of a client's endpoint may open its flow."""

import typing

import aiocoap

from _savoryhaven.tracking import flows
from _savoryhaven.tracking import packets

# EXCHANGE_LIFETIME of RFC 7252, 4.8.2: time after the first transmission of a
# confirmable request in which a retransmission may arrive.
EXCHANGE_LIFETIME_S = 247.0
IDLE_TIMEOUT_S = 600.0


class Coap:
    """Classifies CoAP messages and builds refusals."""

    name: typing.Final = 'coap'
    idle_timeout_s: typing.Final = IDLE_TIMEOUT_S
    # A request of a flow whose state was lost looks like an opening. Until
    # the flow's idle timeout is over, it may belong to a live flow.
    copy_window_s: typing.Final = IDLE_TIMEOUT_S
    closing_linger_s: typing.Final = 0.0
    tombstone_s: typing.Final = EXCHANGE_LIFETIME_S

    def classify(self, packet: packets.Packet) -> flows.Role:
        """Return the role of a packet from a client in its flow."""
        message = _decode(packet)
        if message is not None and message.code.is_request():
            return flows.Role.OPENING
        return flows.Role.OTHER

    def is_closing(self, packet: packets.Packet) -> bool:
        """Return False: CoAP flows end by idle timeout."""
        return False

    def identify_opening(self, packet: packets.Packet) -> bytes:
        """Return a key that all copies of an opening packet share."""
        message = _decode(packet)
        if message is None or message.mid is None:
            return flows.make_flow_key(packet)
        return flows.make_flow_key(packet) + message.mid.to_bytes(2)

    def build_refusal(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return 5.03 with Max-Age: not run, retry after that time."""
        return _build_answer(
            packet, aiocoap.SERVICE_UNAVAILABLE, retry_after_s
        )

    def build_unknown_outcome(
        self, packet: packets.Packet, retry_after_s: int
    ) -> bytes | None:
        """Return 5.04 with Max-Age: whether it was run is unknown."""
        return _build_answer(packet, aiocoap.GATEWAY_TIMEOUT, retry_after_s)


def _decode(packet: packets.Packet) -> aiocoap.Message | None:
    try:
        return aiocoap.Message.decode(packet.payload)
    except (aiocoap.error.Error, ValueError, IndexError):
        return None


def _build_answer(
    packet: packets.Packet, code: aiocoap.Code, retry_after_s: int
) -> bytes | None:
    request = _decode(packet)
    if request is None or not request.code.is_request():
        return None
    confirmable = request.mtype is aiocoap.CON
    answer = aiocoap.Message(
        code=code,
        _mtype=aiocoap.ACK if confirmable else aiocoap.NON,
        _mid=request.mid,
        _token=request.token,
    )
    answer.opt.max_age = retry_after_s
    return packets.build_udp(
        packet.destination,
        packet.destination_port,
        packet.source,
        packet.source_port,
        answer.encode(),
    )
