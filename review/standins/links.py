"""Links between VMs, and from VMs to the store, that can be cut silently."""

import asyncio
import typing

from standins import packets

READ_BYTES = 65_536


class StoreLink:
    """Passes the connections of one VM to the store.

    While it is cut, nothing passes, and what was under way is lost for good.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.is_cut = False
        self._target = target
        self._cuts = 0
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self.is_cut = True
        self._cuts += 1

    def heal(self) -> None:
        """Let new connections pass again."""
        self.is_cut = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        cuts = self._cuts
        outgoing = None
        try:
            if not self.is_cut:
                outgoing = await asyncio.open_connection(*self._target)
                await asyncio.gather(
                    self._pass(reader, outgoing[1], cuts),
                    self._pass(outgoing[0], writer, cuts),
                )
            while await reader.read(READ_BYTES):
                pass
        except OSError:
            pass
        finally:
            writer.close()
            if outgoing is not None:
                outgoing[1].close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cuts: int,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._cuts == cuts:
                writer.write(data)
        if self._cuts == cuts:
            writer.close()


class Mesh:
    """Passes the datagrams between VMs, as far as no cut is between them.

    Each VM reaches each other one at an address that only it uses, so that
    the sender and the receiver of a datagram are known.
    """

    def __init__(
        self,
        port: int,
        vm_hosts: typing.Sequence[str],
        make_address: typing.Callable[[int, int], str],
    ) -> None:
        self.cut_hosts: frozenset[str] = frozenset()
        self._isolated: frozenset[str] = frozenset()
        self._port = port
        self._hosts = list(vm_hosts)
        self._sockets = {}
        loop = asyncio.get_running_loop()
        for sender in range(len(self._hosts)):
            for receiver in range(len(self._hosts)):
                bound = packets.bind_datagrams(
                    (make_address(sender, receiver), port)
                )
                self._sockets[sender, receiver] = bound
                loop.add_reader(bound, self._read, sender, receiver)

    def isolate(self, hosts: typing.Iterable[str]) -> None:
        """Cut VMs off from all others, also from each other."""
        self._isolated = frozenset(hosts)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        if self._isolated & {sender, receiver}:
            return True
        return (sender in self.cut_hosts) != (receiver in self.cut_hosts)

    def close(self) -> None:
        """Close all sockets."""
        loop = asyncio.get_running_loop()
        for bound in self._sockets.values():
            loop.remove_reader(bound)
            bound.close()

    def _read(self, owner: int, receiver: int) -> None:
        while True:
            try:
                raw, address = self._sockets[owner, receiver].recvfrom(2_048)
            except OSError:
                return
            if address[0] not in self._hosts:
                continue
            # VMs tell each other addresses, so any may use this one.
            sender = self._hosts.index(address[0])
            target = self._hosts[receiver]
            if self._is_cut(address[0], target):
                continue
            try:
                self._sockets[receiver, sender].sendto(
                    raw, (target, self._port)
                )
            except OSError:
                continue
