"""The load of upstreams and the choice of an upstream for a new flow.

Load is primarily the number of flows tracked by this VM and the other owners.
Utilisation reports of the upstreams arrive late and may be wrong, so they
expire and change a weight only within ``REPORT_FACTOR_MIN`` and
``REPORT_FACTOR_MAX``.
"""

import collections
import typing

import attrs

from _savoryhaven.tracking import placement

REPORT_MAX_AGE_S = 5.0
REPORT_FACTOR_MIN = 0.95
REPORT_FACTOR_MAX = 1.05
PEER_FLOWS_MAX_AGE_S = 5.0
# The share of a new upstream grows gradually so that its caches can warm up.
RAMP_S = 30.0
RAMP_START = 0.25
# The default upstream of a bucket is chosen while it has at most this multiple
# of its fair share of flows.
BALANCE_BOUND = 1.03


# An upstream is silent if ``SILENCE_OPENINGS`` or more flows were opened since
# its last response, the first of them at least ``SILENCE_S`` ago.
SILENCE_S = 3.0
SILENCE_OPENINGS = 3
# A silent upstream is tried with one new flow per interval.
TRIAL_INTERVAL_S = 5.0


@attrs.define
class _Activity:
    """The last response of an upstream and the flows opened since."""

    responded_at: float
    openings: int = 0
    first_opening_at: float = 0.0
    tried_at: float = 0.0


@attrs.frozen
class Report:
    """The utilisation that an upstream reported: its share of busy slots."""

    utilisation: float
    received_at: float


class Loads:
    """Flow counts, reports and responsiveness by upstream address."""

    def __init__(self) -> None:
        self.own_flows: typing.Final = collections.Counter[str]()
        self._peers: dict[str, tuple[float, dict[str, int]]] = {}
        self._peer_flows: dict[str, int] = {}
        self._reports: dict[str, Report] = {}
        self._usable_since: dict[str, float] = {}
        self._activities: dict[str, _Activity] = {}
        self._responded: set[str] = set()

    def note_peer_flows(
        self, vm_id: str, counts: dict[str, int], now: float
    ) -> None:
        """Store the flow counts of another owner."""
        self._peers[vm_id] = (now, counts)
        self._sum_peers(now)

    def note_answer(self, endpoint: str, now: float) -> None:
        """Record a response of an upstream that passed through this VM."""
        self._responded.add(endpoint)
        self.note_remote_answer(endpoint, now)

    def note_remote_answer(self, endpoint: str, now: float) -> None:
        """Record a response of an upstream that another VM reported."""
        activity = self._activities.get(endpoint)
        if activity is not None:
            activity.responded_at = now
            activity.openings = 0

    def note_opening(self, endpoint: str, now: float) -> None:
        """Record that a flow was opened at an upstream."""
        activity = self._activities.get(endpoint)
        if activity is None:
            activity = _Activity(now)
            self._activities[endpoint] = activity
        if not activity.openings:
            activity.first_opening_at = now
        activity.openings += 1

    def take_responded(self) -> tuple[str, ...]:
        """Return the upstreams that responded since the last call."""
        responded = tuple(sorted(self._responded))
        self._responded.clear()
        return responded

    def may_try(self, endpoint: str, now: float) -> bool:
        """Return whether an upstream may get a new flow.

        A silent upstream gets one per ``TRIAL_INTERVAL_S``. Responses may
        pass through any VM, so VMs report them to each other.
        """
        activity = self._activities.get(endpoint)
        if activity is None or activity.openings < SILENCE_OPENINGS:
            return True
        if now - activity.first_opening_at < SILENCE_S:
            return True
        if now - activity.tried_at < TRIAL_INTERVAL_S:
            return False
        activity.tried_at = now
        return True

    def list_silent(self, now: float) -> list[str]:
        """Return the silent upstreams."""
        return [
            endpoint
            for endpoint, activity in self._activities.items()
            if activity.openings >= SILENCE_OPENINGS
            and now - activity.first_opening_at >= SILENCE_S
        ]

    def note_report(
        self, address: str, utilisation: float, now: float
    ) -> None:
        """Store the utilisation that an upstream reported."""
        self._reports[address] = Report(utilisation, now)

    def list_reported(self) -> dict[str, float]:
        """Return the reported utilisations by upstream."""
        return {
            endpoint: report.utilisation
            for endpoint, report in self._reports.items()
        }

    def note_usable(self, address: str, since: float) -> None:
        """Record when an upstream became usable, which starts its ramp."""
        self._usable_since.setdefault(address, since)

    def forget(self, address: str) -> None:
        """Remove an upstream that is no longer in the document."""
        self._usable_since.pop(address, None)
        self._activities.pop(address, None)
        self._reports.pop(address, None)

    def expire(self, now: float) -> None:
        """Remove expired flow counts and reports."""
        self._sum_peers(now)
        old = [
            address
            for address, report in self._reports.items()
            if now - report.received_at > REPORT_MAX_AGE_S
        ]
        for address in old:
            del self._reports[address]

    def count(self, target: placement.Target) -> int:
        """Return the number of flows at an upstream, over all owners."""
        address = target.endpoint
        return self.own_flows[address] + self._peer_flows.get(address, 0)

    def get_weight(self, target: placement.Target, now: float) -> float:
        """Return the slots of an upstream, scaled by its ramp."""
        return target.slots * self._ramp(target, now)

    def compute_weights(
        self, targets: typing.Sequence[placement.Target], now: float
    ) -> dict[str, float]:
        """Return the weights of upstreams, corrected by their reports.

        Each report is compared with the mean of all reports, and only if most
        upstreams have a recent one.
        """
        fresh = {}
        for target in targets:
            report = self._reports.get(target.endpoint)
            if report and now - report.received_at <= REPORT_MAX_AGE_S:
                fresh[target.endpoint] = report.utilisation
        weights = {t.endpoint: self.get_weight(t, now) for t in targets}
        if len(fresh) * 2 <= len(targets):
            return weights
        mean = sum(fresh.values()) / len(fresh)
        for address, utilisation in fresh.items():
            weights[address] *= _limit_factor(mean, utilisation)
        return weights

    def _ramp(self, target: placement.Target, now: float) -> float:
        since = self._usable_since.get(target.endpoint)
        if since is None:
            return 1.0
        share = (now - since) / RAMP_S
        return min(1.0, RAMP_START + (1.0 - RAMP_START) * share)

    def _sum_peers(self, now: float) -> None:
        total: collections.Counter[str] = collections.Counter()
        for vm_id, (received_at, counts) in list(self._peers.items()):
            if now - received_at > PEER_FLOWS_MAX_AGE_S:
                del self._peers[vm_id]
            else:
                total.update(counts)
        self._peer_flows = dict(total)


def _limit_factor(mean: float, utilisation: float) -> float:
    if mean <= 0:
        return 1.0
    factor = 2.0 - utilisation / mean
    return min(REPORT_FACTOR_MAX, max(REPORT_FACTOR_MIN, factor))


def choose_target(
    ranked: typing.Sequence[placement.Target], loads: Loads, now: float
) -> placement.Target | None:
    """Return the upstream for a new flow, of the usable ones in rank order.

    The first that is not full, unless it has more than its share; then the
    least loaded of the first three that are not full (Mitzenmacher, The Power
    of Two Choices, 2001). None if all are full.
    """
    counts = {target.endpoint: loads.count(target) for target in ranked}
    free = [t for t in ranked if counts[t.endpoint] < t.connections]
    if not free:
        return None
    weights = loads.compute_weights(ranked, now)
    total = sum(counts.values()) + 1
    share = total / sum(weights.values())

    def relative_load(target: placement.Target) -> float:
        address = target.endpoint
        return (counts[address] + 1) / weights[address]

    default = free[0]
    if (
        relative_load(default)
        <= BALANCE_BOUND * share + 1 / weights[default.endpoint]
    ):
        return default
    return min(free[:3], key=relative_load)
