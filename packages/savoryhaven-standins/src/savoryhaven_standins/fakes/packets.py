"""Packets of callers, as a VM receives them."""

import aiocoap
import dpkt


def make_request(
    caller: int,
    service: str,
    mid: int,
    *,
    code: aiocoap.Code = aiocoap.POST,
) -> bytes:
    """Return the packet of a CoAP request of a numbered caller."""
    message = aiocoap.Message(
        code=code, _mtype=aiocoap.CON, _mid=mid, _token=b'tk'
    )
    host, _, port = service.rpartition(':')
    return build_packet(
        make_caller(caller), (host, int(port)), message.encode()
    )


def make_caller(number: int) -> tuple[str, int]:
    """Return the endpoint of a numbered caller."""
    return f'10.{100 + number // 65_536}.{number // 256 % 256}.7', 20_000 + (
        number % 256
    )


def build_packet(
    source: tuple[str, int], target: tuple[str, int], data: bytes
) -> bytes:
    """Return a UDP packet."""
    datagram = dpkt.udp.UDP(sport=source[1], dport=target[1], data=data)
    datagram.ulen = len(datagram)
    packet = dpkt.ip.IP(
        src=bytes(int(part) for part in source[0].split('.')),
        dst=bytes(int(part) for part in target[0].split('.')),
        p=dpkt.ip.IP_PROTO_UDP,
        data=datagram,
    )
    packet.len = len(packet)
    return bytes(packet)
