"""How loaded upstreams are, as far as a VM knows.

Facts come first: the flows that this VM and the other owners hold. Reports
of the upstreams come late and may lie, so they are aged and shift a weight
only within ``REPORT_FACTOR_MIN`` and ``REPORT_FACTOR_MAX``.
"""

import collections
import typing

import attrs

from _savoryhaven.tracking import placement

REPORT_AGE_S = 5.0
REPORT_FACTOR_MIN = 0.95
REPORT_FACTOR_MAX = 1.05
PEER_AGE_S = 5.0
# A new upstream takes a growing share, so that its caches can warm up.
RAMP_S = 30.0
RAMP_START = 0.25
# An upstream takes a bucket's flows by default while it holds at most this
# multiple of its fair share.
BALANCE_BOUND = 1.03


# An upstream counts as silent if it answered nobody for so long, although at
# least so many flows were opened there since its last answer.
SILENCE_S = 3.0
SILENCE_OPENINGS = 3
# A silent upstream is tried with one new flow in so many seconds.
TRIAL_INTERVAL_S = 5.0


@attrs.define
class _Contact:
    """When an upstream answered, and what was asked of it since."""

    heard_at: float
    openings: int = 0
    first_opening_at: float = 0.0
    tried_at: float = 0.0


@attrs.frozen
class Report:
    """What an upstream said of itself: busy slots as a share of all."""

    utilisation: float
    received_at: float


class Loads:
    """Counts of flows by upstream address, and the reports."""

    def __init__(self) -> None:
        self.own: typing.Final = collections.Counter[str]()
        self._peers: dict[str, tuple[float, dict[str, int]]] = {}
        self._others: dict[str, int] = {}
        self._reports: dict[str, Report] = {}
        self._usable_since: dict[str, float] = {}
        self._contacts: dict[str, _Contact] = {}
        self._heard: set[str] = set()

    def note_peer(
        self, vm_id: str, counts: dict[str, int], now: float
    ) -> None:
        """Take in another owner's counts."""
        self._peers[vm_id] = (now, counts)
        self._sum_peers(now)

    def note_answer(self, endpoint: str, now: float) -> None:
        """Note that an upstream answered, whoever its caller is."""
        self._heard.add(endpoint)
        self.note_answer_elsewhere(endpoint, now)

    def note_answer_elsewhere(self, endpoint: str, now: float) -> None:
        """Note that another VM heard an upstream answer."""
        contact = self._contacts.get(endpoint)
        if contact is not None:
            contact.heard_at = now
            contact.openings = 0

    def note_opening(self, endpoint: str, now: float) -> None:
        """Note that a flow was opened at an upstream."""
        contact = self._contacts.get(endpoint)
        if contact is None:
            contact = _Contact(now)
            self._contacts[endpoint] = contact
        if not contact.openings:
            contact.first_opening_at = now
        contact.openings += 1

    def take_heard(self) -> tuple[str, ...]:
        """Return the upstreams that answered since the last call."""
        heard = tuple(sorted(self._heard))
        self._heard.clear()
        return heard

    def may_try(self, endpoint: str, now: float) -> bool:
        """Return whether an upstream may get a new flow: is it not silent?

        Answers pass through any VM, so other VMs tell what they heard. A
        silent upstream is tried now and then.
        """
        contact = self._contacts.get(endpoint)
        if contact is None or contact.openings < SILENCE_OPENINGS:
            return True
        if now - contact.first_opening_at < SILENCE_S:
            return True
        if now - contact.tried_at < TRIAL_INTERVAL_S:
            return False
        contact.tried_at = now
        return True

    def list_silent(self, now: float) -> list[str]:
        """Return the upstreams that count as silent."""
        return [
            endpoint
            for endpoint, contact in self._contacts.items()
            if contact.openings >= SILENCE_OPENINGS
            and now - contact.first_opening_at >= SILENCE_S
        ]

    def note_report(
        self, address: str, utilisation: float, now: float
    ) -> None:
        """Take in what an upstream says of itself."""
        self._reports[address] = Report(utilisation, now)

    def list_reported(self) -> dict[str, float]:
        """Return the utilisations that are known, by upstream."""
        return {
            endpoint: report.utilisation
            for endpoint, report in self._reports.items()
        }

    def note_usable(self, address: str, since: float) -> None:
        """Remember since when an upstream is usable; the ramp starts then."""
        self._usable_since.setdefault(address, since)

    def forget(self, address: str) -> None:
        """Forget an upstream that is no longer in the document."""
        self._usable_since.pop(address, None)
        self._contacts.pop(address, None)
        self._reports.pop(address, None)

    def expire(self, now: float) -> None:
        """Forget what peers and upstreams said long ago."""
        self._sum_peers(now)
        old = [
            address
            for address, report in self._reports.items()
            if now - report.received_at > REPORT_AGE_S
        ]
        for address in old:
            del self._reports[address]

    def count(self, target: placement.Target) -> int:
        """Return the live flows at an upstream, over all owners."""
        address = target.endpoint
        return self.own[address] + self._others.get(address, 0)

    def weigh(self, target: placement.Target, now: float) -> float:
        """Return the slots of an upstream, corrected by ramp and report."""
        return target.slots * self._ramp(target, now)

    def correct(
        self, targets: typing.Sequence[placement.Target], now: float
    ) -> dict[str, float]:
        """Return the weights of upstreams, corrected by their reports.

        A report counts against the mean of the service's reports, and only
        if most of the upstreams have a fresh one.
        """
        fresh = {}
        for target in targets:
            report = self._reports.get(target.endpoint)
            if report and now - report.received_at <= REPORT_AGE_S:
                fresh[target.endpoint] = report.utilisation
        weights = {t.endpoint: self.weigh(t, now) for t in targets}
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
            if now - received_at > PEER_AGE_S:
                del self._peers[vm_id]
            else:
                total.update(counts)
        self._others = dict(total)


def _limit_factor(mean: float, utilisation: float) -> float:
    if mean <= 0:
        return 1.0
    factor = 2.0 - utilisation / mean
    return min(REPORT_FACTOR_MAX, max(REPORT_FACTOR_MIN, factor))


def choose_target(
    ranked: typing.Sequence[placement.Target], loads: Loads, now: float
) -> placement.Target | None:
    """Return the upstream for a new flow, of the usable ones in rank order.

    The first in rank, unless it holds more than its share; then the better
    of the next two (Mitzenmacher, The Power of Two Choices, 2001).
    """
    counts = {target.endpoint: loads.count(target) for target in ranked}
    free = [t for t in ranked if counts[t.endpoint] < t.connections]
    if not free:
        return None
    weights = loads.correct(ranked, now)
    total = sum(counts.values()) + 1
    share = total / sum(weights.values())

    def fill(target: placement.Target) -> float:
        address = target.endpoint
        return (counts[address] + 1) / weights[address]

    default = free[0]
    if fill(default) <= BALANCE_BOUND * share + 1 / weights[default.endpoint]:
        return default
    return min(free[:3], key=fill)
