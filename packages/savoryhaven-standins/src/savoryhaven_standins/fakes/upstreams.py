"""A recorder of the packets that leave the fabric."""

import typing

import dpkt


class Upstreams:
    """Records the packets that reach upstreams and callers.

    An upstream's own transport drops copies of a packet (CoAP message ids,
    TCP sequence numbers), so copies that reach one upstream count as one run.
    """

    def __init__(self) -> None:
        self.runs: dict[bytes, list[str]] = {}
        self.reached: dict[tuple[str, int], list[str]] = {}
        self.answers: list[tuple[str, dpkt.ip.IP]] = []
        # Called with each packet that reaches a live upstream.
        self.answer: typing.Callable[[dpkt.ip.IP], None] | None = None
        self.dead: set[str] = set()

    def receive(self, raw: bytes) -> None:
        """Record a packet that a VM sent to the fabric."""
        packet = dpkt.ip.IP(raw)
        source = _format_endpoint(packet.src, packet.data.sport)
        target = _format_endpoint(packet.dst, packet.data.dport)
        if target.startswith('10.9.'):
            caller = (source.split(':')[0], packet.data.sport)
            self.reached.setdefault(caller, []).append(target)
            port = packet.data.sport.to_bytes(2)
            identity = packet.src + port + bytes(packet.data.data)[:4]
            ran = self.runs.setdefault(identity, [])
            if target not in ran:
                ran.append(target)
            if self.answer is not None and target not in self.dead:
                self.answer(packet)
        else:
            self.answers.append((source, packet))

    def list_repeated_runs(self) -> list[list[str]]:
        """Return the requests that ran at more than one upstream."""
        return [ran for ran in self.runs.values() if len(ran) > 1]

    def list_broken_flows(self) -> list[tuple[tuple[str, int], set[str]]]:
        """Return the flows whose packets reached several upstreams."""
        return [
            (caller, set(reached))
            for caller, reached in self.reached.items()
            if len(set(reached)) > 1
        ]


def _format_endpoint(host: bytes, port: int) -> str:
    return f'{format_host(host)}:{port}'


def format_host(host: bytes) -> str:
    """Return an IPv4 address as text."""
    return '.'.join(str(part) for part in host)
