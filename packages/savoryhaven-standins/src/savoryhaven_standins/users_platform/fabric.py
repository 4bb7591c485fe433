"""Routers that distribute packets over the VMs that report ready."""

import asyncio
import contextlib
import random
import socket
import zlib

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
# Failed probes in a row that take a VM out of rotation.
UNHEALTHY_THRESHOLD = 2


class Fabric:
    """All routers as one; flows are placed by hash modulo VM count."""

    def __init__(self, *, data_port: int, ready_port: int, seed: int) -> None:
        self.hosts: list[str] = []
        self.loss = 0.0
        self._failed_probes: dict[str, int] = {}
        self._data_port = data_port
        self._ready_port = ready_port
        self._random = random.Random(seed)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def list_in_rotation(self) -> list[str]:
        """Return the VMs that receive packets.

        These are the ready ones, or all if fewer than half are ready.
        """
        ready = [
            host
            for host in self.hosts
            if self._failed_probes.get(host, UNHEALTHY_THRESHOLD)
            < UNHEALTHY_THRESHOLD
        ]
        if 2 * len(ready) < len(self.hosts):
            return self.hosts
        return ready

    def send(self, raw: bytes) -> None:
        """Send a client's packet to the VM that its flow hashes to."""
        hosts = self.list_in_rotation()
        if not hosts or self._random.random() < self.loss:
            return
        # Bytes 19 to 30 are the addresses and ports of both ends.
        self.send_to(hosts[zlib.crc32(raw[19:31]) % len(hosts)], raw)

    def send_to(self, host: str, raw: bytes) -> None:
        """Send a packet to one VM, in rotation or not."""
        with contextlib.suppress(BlockingIOError):
            self._socket.sendto(raw, (host, self._data_port))

    async def run(self) -> None:
        """Probe the readiness of all VMs until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(host) for host in self.hosts))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, host: str) -> None:
        if await self.is_ready(host):
            self._failed_probes[host] = 0
        else:
            self._failed_probes[host] = (
                self._failed_probes.get(host, UNHEALTHY_THRESHOLD) + 1
            )

    async def is_ready(self, host: str) -> bool:
        """Return whether a VM reports that it is ready."""
        return b' 200 ' in await self.probe_readiness(host)

    async def probe_readiness(self, host: str) -> bytes:
        """Return the first line of a VM's answer, or nothing."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host, self._ready_port
                )
                try:
                    writer.write(b'GET /v1/readiness HTTP/1.1\r\n\r\n')
                    line = await reader.readline()
                finally:
                    writer.close()
        except OSError:
            return b''
        return line

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
