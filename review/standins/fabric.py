"""Routers that spread the packets of clients over the VMs of their zone."""

import asyncio
import socket
import typing
import zlib

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
# Missed polls after which a VM is out of the rotation.
MISSES = 2


class Fabric:
    """All routers as one. Flows are placed by a hash, modulo."""

    def __init__(
        self,
        data_port: int,
        ready_port: int,
        note_change: typing.Callable[[str], None],
    ) -> None:
        self._note_change = note_change
        self._data_port = data_port
        self._ready_port = ready_port
        self._zones: dict[str, list[str]] = {}
        self._misses: dict[str, int] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def add_vm(self, host: str, zone: str) -> None:
        """Poll a VM from now on."""
        self._zones.setdefault(zone, []).append(host)
        self._misses[host] = MISSES
        self._tasks[host] = asyncio.create_task(self._poll(host))

    def remove_vm(self, host: str) -> None:
        """Forget a VM that was taken away."""
        for hosts in self._zones.values():
            if host in hosts:
                hosts.remove(host)
        self._misses.pop(host)
        self._tasks.pop(host).cancel()

    def close(self) -> None:
        """Stop polling."""
        for task in self._tasks.values():
            task.cancel()
        self._socket.close()

    def is_in_rotation(self, host: str) -> bool:
        """Return whether a VM answered one of its last two polls."""
        return self._misses[host] < MISSES

    def list_targets(self, zone: str) -> list[str]:
        """Return the VMs that packets of a zone's clients go to."""
        ready = [h for h in self._zones[zone] if self.is_in_rotation(h)]
        if not ready:
            others = [h for h in self._misses if self.is_in_rotation(h)]
            return others or self._zones[zone]
        if 2 * len(ready) < len(self._zones[zone]):
            return self._zones[zone]
        return ready

    def send(self, zone: str, raw: bytes) -> None:
        """Send a client's packet to the VM that its flow is placed at."""
        targets = self.list_targets(zone)
        # Bytes 19 to 30 are the addresses and ports of both ends.
        host = targets[zlib.crc32(raw[19:31]) % len(targets)]
        try:
            self._socket.sendto(raw, (host, self._data_port))
        except OSError:
            pass

    async def _poll(self, host: str) -> None:
        while True:
            was_in_rotation = self.is_in_rotation(host)
            if await self._is_ready(host):
                self._misses[host] = 0
            else:
                self._misses[host] += 1
            if self.is_in_rotation(host) != was_in_rotation:
                change = 'leaves' if was_in_rotation else 'joins'
                self._note_change(f'{host} {change} the rotation')
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_ready(self, host: str) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host, self._ready_port
                )
                try:
                    writer.write(
                        b'GET /v1/readiness HTTP/1.1\r\nHost: vm\r\n\r\n'
                    )
                    return b' 200 ' in await reader.readline()
                finally:
                    writer.close()
        except OSError:
            return False
