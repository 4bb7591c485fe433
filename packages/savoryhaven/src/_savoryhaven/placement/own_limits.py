"""Refuses openings while the VM itself is too busy to handle packets in time.

When a VM gets more packets than its processor handles, they queue in its
socket, and those of open flows wait behind openings. Refusing an opening costs
far less processor time than forwarding it and the packets that follow.

The decision uses how long packets waited. Openings of the lowest priority are
refused first. How many are admitted follows an additive increase and a
multiplicative decrease, as in the congestion control of TCP.

    >>> limits = OwnLimits(max_wait_s=0.05)
    >>> for tenth in range(6):
    ...     admitted = limits.admit(0, draw=0.99)
    ...     change = limits.note_wait(0.08, 10.0 + tenth / 10)
    >>> type(change).__name__, limits.shedding
    ('Started', True)
    >>> limits.admit(0, draw=0.99), limits.admit(0, draw=0.01)
    (False, False)
    >>> limits.note_wait(0.01, 10.6)
    >>> limits.admit(0, draw=0.99), limits.admit(0, draw=0.01)
    (False, True)
"""

import math

import attrs

# Shedding starts when all packets of this time have waited too long. A VM
# whose processor is throttled for a part of each 100 ms has short waits too.
WINDOW_S = 0.5
# Shedding ends when for this time waits were short and nothing was refused.
CALM_S = 1.0
# How often the admitted rate is adjusted: several round trips of an opening.
INTERVAL_S = 0.05
# The wait to which the admitted rate is adjusted, as a part of the longest
# one: 20 ms of 50 ms.
TARGET_WAIT_SHARE = 0.4
# Shedding starts with this part of the rate that the saturated VM handled, so
# that the packets in its socket are read soon.
START_FACTOR = 0.7
DECREASE_FACTOR = 0.93
# Step of the admitted rate, as a part of the rate when shedding started.
INCREASE_SHARE = 0.03
# For one interval nothing is admitted when shedding starts, and again when
# waits are too long, but not sooner than after this time. That reads a full
# socket empty: at 5 times the capacity, the floors and the refusals together
# leave too little processor time for that.
DRAIN_PAUSE_S = 1.0
# While a queue is being read, waits are long although the admitted rate is
# right. The rate is decreased only if the wait has not fallen to this part of
# what it was in the interval before.
FALLING_FACTOR = 0.9
# The least share of the openings of a priority that is admitted. As a refused
# client tries twice more, this admits 12 % of the clients: a tenth, and some
# for the intervals in which nothing is admitted. A tenth of all openings would
# be more than a VM can handle at 5 times its capacity.
FLOOR = 1 - 0.88 ** (1 / 3)
# Weight of the last interval in the average rate of openings.
RATE_WEIGHT = 0.5


@attrs.frozen
class Started:
    """Shedding has started.

    ``waited_s`` is the shortest wait of the last interval, ``handled_per_s``
    the rate of openings that the VM handled, ``admitted_per_s`` the rate that
    it admits from now on.
    """

    waited_s: float
    handled_per_s: float
    admitted_per_s: float


@attrs.frozen
class Ended:
    """Shedding has ended, after ``lasted_s`` and ``refused`` openings."""

    waited_s: float
    lasted_s: float
    refused: int


Change = Started | Ended


class OwnLimits:
    """Decides which openings a VM refuses because it is too busy."""

    def __init__(self, max_wait_s: float) -> None:
        self.max_wait_s = max_wait_s
        self.shedding = False
        self._admitted_per_s = math.inf
        self._start_per_s = 0.0
        self._started_at = 0.0
        self._drained_at = 0.0
        self._draining = False
        self._refused = 0
        self._refused_before = 0
        # Share that is admitted, by priority; 1 for those not in it.
        self._shares: dict[int, float] = {}
        self._counts: dict[int, int] = {}
        self._rates: dict[int, float] = {}
        self._noted_at = -math.inf
        self._interval_at = -math.inf
        self._shortest_s = math.inf
        self._previous_s = math.inf
        # The last times of a short wait, and of a long one or a refusal.
        self._short_at = -math.inf
        self._busy_at = -math.inf

    def admit(self, priority: int, draw: float) -> bool:
        """Return whether to admit the opening of a new flow.

        ``draw`` is a number from 0 to 1, the same one for each copy of an
        opening: a client whose opening was refused has given up its copies.
        """
        self._counts[priority] = self._counts.get(priority, 0) + 1
        if not self.shedding:
            return True
        if not self._draining and draw < self._shares.get(priority, 1.0):
            return True
        self._refused += 1
        return False

    def note_wait(self, wait_s: float, now: float) -> Change | None:
        """Record how long a packet has waited; return a change of state.

        Called for the first packet that is read in each wake-up, which has
        waited longest.
        """
        if now - self._noted_at > WINDOW_S:
            # Without packets there was no wait either.
            self._short_at = self._interval_at = now
        self._noted_at = now
        if wait_s <= self.max_wait_s:
            self._short_at = now
        self._shortest_s = min(self._shortest_s, wait_s)
        if now - self._interval_at < INTERVAL_S:
            return None
        self._update_rates(now - self._interval_at)
        change = self._adjust(now) if self.shedding else self._start(now)
        self._interval_at = now
        self._previous_s = self._shortest_s
        self._shortest_s = math.inf
        return change

    def _update_rates(self, elapsed_s: float) -> None:
        for priority in self._counts.keys() | self._rates.keys():
            rate = self._counts.get(priority, 0) / elapsed_s
            known = self._rates.get(priority, rate)
            self._rates[priority] = known + RATE_WEIGHT * (rate - known)
        self._counts.clear()

    def _start(self, now: float) -> Started | None:
        if now - self._short_at < WINDOW_S:
            return None
        handled_per_s = sum(self._rates.values())
        self.shedding = True
        self._start_per_s = handled_per_s
        self._admitted_per_s = START_FACTOR * handled_per_s
        self._started_at = self._busy_at = self._drained_at = now
        self._draining = True
        self._refused = self._refused_before = 0
        self._divide()
        return Started(self._shortest_s, handled_per_s, self._admitted_per_s)

    def _adjust(self, now: float) -> Ended | None:
        waited_s = self._shortest_s
        target_s = TARGET_WAIT_SHARE * self.max_wait_s
        refused = self._refused > self._refused_before
        self._refused_before = self._refused
        if waited_s > target_s or refused:
            self._busy_at = now
        elif now - self._busy_at >= CALM_S:
            self.shedding = False
            return Ended(waited_s, now - self._started_at, self._refused)
        if self._draining:
            # The wait was not the effect of the admitted rate.
            self._draining = False
        elif waited_s <= target_s:
            # Without refusals the rate is not what limits the openings.
            if refused:
                # A VM that open flows alone saturate starts from rate zero.
                self._admitted_per_s += INCREASE_SHARE * max(
                    self._start_per_s, FLOOR * sum(self._rates.values())
                )
        elif waited_s > FALLING_FACTOR * self._previous_s:
            # From a rate below the floors it would not recover soon.
            self._admitted_per_s = max(
                FLOOR * sum(self._rates.values()),
                DECREASE_FACTOR * self._admitted_per_s,
            )
        if (
            waited_s > self.max_wait_s
            and now - self._drained_at >= DRAIN_PAUSE_S
        ):
            self._drained_at = now
            self._draining = True
        self._divide()
        return None

    def _divide(self) -> None:
        """Divide the admitted rate, from the highest priority to the lowest.

        Priority 0 is the highest. Each gets its floor first.
        """
        left = self._admitted_per_s - FLOOR * sum(self._rates.values())
        self._shares = {}
        for priority in sorted(self._rates):
            rate = self._rates[priority]
            wanted = (1 - FLOOR) * rate
            given = max(0.0, min(wanted, left))
            left -= given
            share = given / rate if rate else 1.0
            self._shares[priority] = FLOOR + share
