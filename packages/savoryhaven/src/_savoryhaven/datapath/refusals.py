"""Refuses and drops openings, and logs each decision on one."""

import typing

from _savoryhaven.datapath import parts as parts_module
from _savoryhaven.model import packets
from _savoryhaven.telemetry import counters as counters_module

_Count = counters_module.Count


class Refusals:
    """Refuses openings at once, or drops those that it can't decide."""

    def __init__(self, parts: parts_module.Parts) -> None:
        self._parts: typing.Final = parts

    def drop_uninformed(
        self, packet: packets.FlowPacket, reason: str, now: float
    ) -> None:
        """Drop an opening that a VM which knows more may be able to place."""
        self._parts.counters[_Count.DROPPED_UNINFORMED] += 1
        self.emit('opening_dropped', packet, now, reason=reason)

    def refuse(
        self, packet: packets.FlowPacket, reason: str, now: float
    ) -> None:
        """Reset an opening, so that its client knows that nothing has run."""
        self._parts.outputs.send_to_client(
            self._parts.codec.encode_reset(packet), packet.key
        )
        self._parts.counters[_Count.REFUSED] += 1
        self.emit('opening_refused', packet, now, reason=reason)

    def emit(
        self,
        name: str,
        packet: packets.FlowPacket,
        now: float,
        **outcome: typing.Any,
    ) -> None:
        """Log the decision on an opening, with the age of its inputs."""
        self._parts.events.emit(
            name,
            flow=packets.format_flow(packet.key),
            copy=packet.acknowledged,
            **outcome,
            configuration=self._parts.routes.version,
            configuration_age_s=round(
                now - self._parts.routes.confirmed_at, 3
            ),
            catalogue_revision=self._parts.catalogue.revision,
            catalogue_age_s=round(now - self._parts.catalogue.confirmed_at, 3),
        )
