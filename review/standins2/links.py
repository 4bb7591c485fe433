"""Links between VMs: a relay for their messages that a case can cut.

Each VM gets a port of its own for peers, so that it sends to the others at a
port where the relay listens. The relay passes a message on from the sender's
address, which is all that the receiver looks at.
"""

import asyncio
import contextlib
import socket


class Links:
    """The links between all VMs of a site."""

    def __init__(self):
        # Hosts of VMs that no other VM reaches, and that reach no other.
        self.cut = set()
        self._sockets = []

    def open(self, hosts, ports):
        """Relay between VMs at ``hosts``; each has its port in ``ports``."""
        for sender, sender_port in zip(hosts, ports, strict=True):
            for target, target_port in zip(hosts, ports, strict=True):
                if sender != target:
                    self._open(sender, sender_port, target, target_port)

    def _open(self, sender, sender_port, target, target_port):
        # What ``sender`` sends to ``target`` arrives here.
        inlet = _bind(target, sender_port)
        outlet = _bind(sender, 0)
        self._sockets += [inlet, outlet]

        def forward():
            while True:
                try:
                    raw = inlet.recv(2_048)
                except BlockingIOError:
                    return
                if sender in self.cut or target in self.cut:
                    continue
                with contextlib.suppress(OSError):
                    outlet.sendto(raw, (target, target_port))

        asyncio.get_running_loop().add_reader(inlet, forward)

    def close(self):
        """Close all sockets."""
        for bound in self._sockets:
            with contextlib.suppress(ValueError):
                asyncio.get_running_loop().remove_reader(bound)
            bound.close()


def _bind(host, port):
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind((host, port))
    return bound
