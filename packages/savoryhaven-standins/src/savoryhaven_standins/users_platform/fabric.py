"""Routers: they spread packets over the VMs that say they are ready."""

import asyncio
import contextlib
import random
import socket
import zlib

POLL_S = 0.5
ANSWER_S = 0.4
MISSES = 2


class Fabric:
    """All routers at once, hashing by ``mod``."""

    def __init__(self, *, data_port: int, ready_port: int, seed: int) -> None:
        self.hosts: list[str] = []
        self.loss = 0.0
        self._misses: dict[str, int] = {}
        self._data_port = data_port
        self._ready_port = ready_port
        self._random = random.Random(seed)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def list_in_rotation(self) -> list[str]:
        """Return the VMs that packets go to."""
        ready = [
            host
            for host in self.hosts
            if self._misses.get(host, MISSES) < MISSES
        ]
        if 2 * len(ready) < len(self.hosts):
            return self.hosts
        return ready

    def send(self, raw: bytes) -> None:
        """Hand a client's packet to a VM."""
        hosts = self.list_in_rotation()
        if not hosts or self._random.random() < self.loss:
            return
        self.send_to(hosts[zlib.crc32(raw[19:31]) % len(hosts)], raw)

    def send_to(self, host: str, raw: bytes) -> None:
        """Hand a packet to one VM, in rotation or not."""
        with contextlib.suppress(BlockingIOError):
            self._socket.sendto(raw, (host, self._data_port))

    async def run(self) -> None:
        """Ask for readiness until cancelled."""
        while True:
            await asyncio.gather(*(self._poll(host) for host in self.hosts))
            await asyncio.sleep(POLL_S)

    async def _poll(self, host: str) -> None:
        if await self.is_ready(host):
            self._misses[host] = 0
        else:
            self._misses[host] = self._misses.get(host, MISSES) + 1

    async def is_ready(self, host: str) -> bool:
        """Return whether a VM says that it is ready."""
        return b' 200 ' in await self.ask_readiness(host)

    async def ask_readiness(self, host: str) -> bytes:
        """Return the first line of a VM's answer, nothing if it is silent."""
        try:
            async with asyncio.timeout(ANSWER_S):
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
