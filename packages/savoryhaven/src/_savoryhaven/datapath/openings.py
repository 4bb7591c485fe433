"""Tracks openings, the first packets of flows, until a later packet arrives.

A client repeats an opening that got no answer. While an earlier copy may
still be answered, later ones go to the same upstream. After that the upstream
counts as failed, and another one is tried.
"""

import typing

import attrs

from _savoryhaven.model import packets
from _savoryhaven.model import upstreams

# A healthy upstream answers an opening within a round trip of about 15 ms,
# and clients repeat after 200 ms. A copy that follows sooner than this was
# delayed in a queue.
OPENING_ANSWER_TIMEOUT_S = 0.1
# Clients abandon an opening after 1.4 s.
OPENING_LIFETIME_S = 1.6


@attrs.define(eq=False, repr=False)
class Opening:
    """An opening without a later packet of its flow.

    ``tried`` lists the upstreams that it was sent to, in this order.
    ``sequence`` is its sequence number, and ``raw`` the client's packet.
    """

    tried: list[upstreams.UpstreamState]
    sent_at: float
    first_sent_at: float
    sequence: int = 0
    raw: bytes = b''

    @property
    def state(self) -> upstreams.UpstreamState:
        """Return the upstream that was tried last."""
        return self.tried[-1]

    @property
    def tried_tags(self) -> frozenset[int]:
        """Return the tags of all upstreams that were tried."""
        return frozenset(state.upstream.tag for state in self.tried)


class Openings:
    """The pending openings, oldest first, up to a limit."""

    def __init__(self, limit: int) -> None:
        self.limit: typing.Final = limit
        self._openings: dict[packets.FlowKey, Opening] = {}

    def __len__(self) -> int:
        return len(self._openings)

    def get(self, key: packets.FlowKey) -> Opening | None:
        """Return an opening, or None."""
        return self._openings.get(key)

    def start(
        self,
        key: packets.FlowKey,
        state: upstreams.UpstreamState,
        now: float,
        *,
        sequence: int = 0,
        raw: bytes = b'',
    ) -> None:
        """Record that an opening is sent to its first upstream."""
        if len(self._openings) >= self.limit:
            self._end(next(iter(self._openings)), now)
        self._openings[key] = Opening([state], now, now, sequence, raw)
        state.add_opening(1, now)

    def is_overdue(self, opening: Opening, now: float) -> bool:
        """Return whether the upstream tried last should have answered."""
        return now - opening.sent_at >= OPENING_ANSWER_TIMEOUT_S

    def repeat(self, opening: Opening, now: float) -> None:
        """Record that an opening is sent to the same upstream again."""
        opening.sent_at = now

    def move(
        self, opening: Opening, state: upstreams.UpstreamState, now: float
    ) -> None:
        """Record that an opening is sent to another upstream."""
        opening.state.add_opening(-1, now)
        opening.tried.append(state)
        opening.sent_at = now
        state.add_opening(1, now)

    def complete(self, key: packets.FlowKey, now: float) -> Opening | None:
        """Remove and return an opening whose flow has a later packet."""
        return self._end(key, now)

    def expire(self, now: float) -> list[tuple[packets.FlowKey, Opening]]:
        """Remove and return openings of which nothing was heard.

        Their clients have abandoned them, or go on through another VM.
        """
        expired = []
        while self._openings:
            key, opening = next(iter(self._openings.items()))
            if now - opening.first_sent_at < OPENING_LIFETIME_S:
                break
            self._end(key, now)
            expired.append((key, opening))
        return expired

    def _end(self, key: packets.FlowKey, now: float) -> Opening | None:
        opening = self._openings.pop(key, None)
        if opening is not None:
            opening.state.add_opening(-1, now)
        return opening
