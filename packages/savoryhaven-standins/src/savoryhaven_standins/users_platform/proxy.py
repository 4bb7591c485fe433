"""A loopback proxy that injects faults between a VM and the store."""

import asyncio
import enum
import math

DELAY_S = 0.3
READ_BYTES = 16_384


class Link(enum.Enum):
    """The state of the link: what happens to data in transit."""

    GOOD = 'good'
    DELAYED = 'delayed'
    RESET = 'reset'
    # Requests are delivered, answers are dropped.
    ONE_WAY = 'one way'
    SILENT = 'silent'


class Proxy:
    """Forwards connections to one address.

    Answers pass at ``bytes_per_s`` together.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.link = Link.GOOD
        self.bytes_per_s = math.inf
        self._answers = asyncio.Lock()
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            outgoing = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, outgoing[1]}
        try:
            await asyncio.gather(
                self._forward(reader, outgoing[1], answers=False),
                self._forward(outgoing[0], writer, answers=True),
            )
        finally:
            self._writers -= {writer, outgoing[1]}
            writer.transport.abort()
            outgoing[1].transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while True:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                data = b''
            match self.link:
                case _ if not data:
                    writer.transport.abort()
                    return
                case Link.RESET:
                    writer.transport.abort()
                    return
                case Link.SILENT:
                    continue
                case Link.ONE_WAY if answers:
                    continue
                case Link.DELAYED:
                    await asyncio.sleep(DELAY_S)
            if answers and self.bytes_per_s < math.inf:
                async with self._answers:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
            if writer.is_closing():
                return
            writer.write(data)
