"""Openings on their way: the copies of one opening stay together.

A client repeats an opening that got no answer. While its first copy may
still be answered, later ones go to the same upstream; after that the
upstream counts as failed, and another one is tried.
"""

import typing

import attrs

from _savoryhaven.datapath import packets
from _savoryhaven.placement import upstreams

# A healthy upstream answers an opening within a round trip of some 15 ms;
# clients repeat after 200 ms. A copy that follows sooner than this waited
# in a queue on its way.
ANSWER_DUE_S = 0.1
# Clients give an opening up 1.4 s after it.
OPENING_LIFETIME_S = 1.6


@attrs.define(eq=False, repr=False)
class Opening:
    """An opening that nothing has followed yet."""

    tried: list[upstreams.UpstreamState]
    sent_at: float
    first_sent_at: float

    @property
    def state(self) -> upstreams.UpstreamState:
        """Return the upstream that was tried last."""
        return self.tried[-1]

    @property
    def tried_tags(self) -> frozenset[int]:
        """Return the tags of all upstreams that were tried."""
        return frozenset(state.upstream.tag for state in self.tried)


class Openings:
    """The openings of the last moments, oldest first."""

    def __init__(self, limit: int) -> None:
        self.limit: typing.Final = limit
        self._openings: dict[packets.FlowKey, Opening] = {}

    def __len__(self) -> int:
        return len(self._openings)

    def get(self, key: packets.FlowKey) -> Opening | None:
        """Return an opening."""
        return self._openings.get(key)

    def start(
        self,
        key: packets.FlowKey,
        state: upstreams.UpstreamState,
        now: float,
    ) -> None:
        """Note that an opening is sent to a first upstream."""
        if len(self._openings) >= self.limit:
            self._end(next(iter(self._openings)), now)
        self._openings[key] = Opening([state], now, now)
        state.add_opening(1, now)

    def is_overdue(self, opening: Opening, now: float) -> bool:
        """Return whether the upstream tried last should have answered."""
        return now - opening.sent_at >= ANSWER_DUE_S

    def move(
        self, opening: Opening, state: upstreams.UpstreamState, now: float
    ) -> None:
        """Note that an opening is sent to a further upstream."""
        opening.state.add_opening(-1, now)
        opening.tried.append(state)
        opening.sent_at = now
        state.add_opening(1, now)

    def settle(self, key: packets.FlowKey, now: float) -> Opening | None:
        """Return and forget an opening, as its flow goes on."""
        return self._end(key, now)

    def expire(self, now: float) -> None:
        """Forget openings that their clients have given up."""
        while self._openings:
            key, opening = next(iter(self._openings.items()))
            if now - opening.first_sent_at < OPENING_LIFETIME_S:
                return
            self._end(key, now)

    def _end(self, key: packets.FlowKey, now: float) -> Opening | None:
        opening = self._openings.pop(key, None)
        if opening is not None:
            opening.state.add_opening(-1, now)
        return opening
