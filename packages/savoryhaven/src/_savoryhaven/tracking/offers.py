"""Synchronous copies: a packet waits until another VM has stored a copy."""

import asyncio
import itertools
import typing

import attrs

from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import messages

RETRY_INTERVAL_S = 0.05
OFFER_TIMEOUT_S = 0.5


@attrs.define
class _Pending:
    vm_id: str
    offer: messages.CopyOffer
    on_acknowledged: typing.Callable[[], None]
    until: float


class Offers:
    """Sends copies as datagrams and repeats them until acknowledged."""

    def __init__(
        self,
        context: context_module.Context,
        send: typing.Callable[[str, messages.Message], None],
    ) -> None:
        self._context: typing.Final = context
        self._send: typing.Final = send
        self._sequence = itertools.count(1)
        self._pending: dict[int, _Pending] = {}

    def offer(
        self,
        vm_id: str,
        record: messages.FlowRecord | messages.TombstoneRecord,
        on_acknowledged: typing.Callable[[], None],
    ) -> bool:
        """Send a copy; returns False if too many are pending.

        ``on_acknowledged`` is called once the VM has acknowledged the copy.
        """
        if len(self._pending) >= self._context.settings.limits.held_packets:
            return False
        flows: tuple[messages.FlowRecord, ...] = ()
        tombstones: tuple[messages.TombstoneRecord, ...] = ()
        match record:
            case messages.FlowRecord():
                flows = (record,)
            case messages.TombstoneRecord():
                tombstones = (record,)
        sequence = next(self._sequence)
        offer = messages.CopyOffer(
            sequence, self._context.vm_id, flows, tombstones
        )
        until = self._context.clock.read_monotonic() + OFFER_TIMEOUT_S
        self._pending[sequence] = _Pending(
            vm_id, offer, on_acknowledged, until
        )
        self._send(vm_id, offer)
        return True

    def acknowledge(self, ack: messages.CopyAck) -> None:
        """Run the callback of an acknowledged copy."""
        pending = self._pending.pop(ack.sequence, None)
        if pending is not None:
            pending.on_acknowledged()

    def reset(self) -> None:
        """Discard all pending copies."""
        self._pending.clear()

    async def run(self) -> None:
        """Repeat unacknowledged copies until cancelled."""
        while True:
            await asyncio.sleep(RETRY_INTERVAL_S)
            self.resend(self._context.clock.read_monotonic())

    def resend(self, now: float) -> None:
        """Resend unacknowledged copies and discard expired ones.

        The packet that waited for an expired copy is dropped; its client
        retransmits it.
        """
        for sequence, pending in list(self._pending.items()):
            if pending.until < now:
                del self._pending[sequence]
            else:
                self._send(pending.vm_id, pending.offer)
