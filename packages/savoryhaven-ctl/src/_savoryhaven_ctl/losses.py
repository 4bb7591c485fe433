"""Names why flows were delayed or not served, from the logs of a fleet.

Each flow counts once, with the cause that comes first in ``Cause``, in the
window of the line that shows it and in the failure domain of its VM. What no
VM received shows only as silence: see ``timelines``.

    >>> losses = find_losses(events, window_s=2.0)
    >>> losses[0].cause, losses[0].flows
    (<Cause.LOST_EARLIER: 'no VM handled an earlier copy'>, 12)
"""

import collections
import enum
import typing

import attrs

from _savoryhaven_ctl import explanations
from _savoryhaven_ctl import opening_loads

UNKNOWN = 'unknown'
# A copy of an opening that arrives this long after a VM started was repeated
# because no VM handled the first one: clients abandon an opening after 1.4 s.
START_WINDOW_S = 1.4


class Cause(enum.Enum):
    """Why a flow was delayed or not served, the most serious cause first."""

    REFUSED = 'refused'
    UNINFORMED = 'dropped, the VM did not know enough'
    RESET = 'reset, its upstream had ended'
    UNKNOWN_TAG = 'its upstream was unknown to the VM'
    UPSTREAM_SILENT = 'its upstream did not answer the opening'
    STARTED_LATE = 'its VM had just started'
    LOST_EARLIER = 'no VM handled an earlier copy'
    SHORT_ANSWER = 'an answer was short, maybe an error'


_RANKS = {cause: rank for rank, cause in enumerate(Cause)}


@attrs.frozen(kw_only=True)
class Loss:
    """Flows of one window, failure domain and cause.

    ``at`` is the start of the window in seconds since 1970, ``detail`` the
    reason of refusals and drops.
    """

    at: float
    failure_domain: str
    cause: Cause
    detail: str
    flows: int


@attrs.frozen
class _Finding:
    """The cause that one line names for a flow."""

    cause: Cause
    at: float
    vm: str
    detail: str = ''


class _Findings:
    """The most serious cause of each flow."""

    def __init__(self) -> None:
        self.domains: dict[str, str] = {}
        self._started_at: dict[str, float] = {}
        self._current: dict[str, _Finding] = {}
        self._seen_at: dict[str, float] = {}
        self._ended: list[_Finding] = []

    def add(self, event: explanations.Event) -> None:
        """Note what a line says; lines come in order of time."""
        if event.name == 'started':
            domain = event.get('failure_domain')
            self.domains[event.vm] = str(domain or UNKNOWN)
            self._started_at[event.vm] = event.at
        flow = event.get('flow')
        if isinstance(flow, str):
            self._end_idle(flow, event.at)
            finding = _find_cause(event, self._started_at.get(event.vm))
            if finding is not None:
                self._put(flow, finding)

    def _end_idle(self, flow: str, at: float) -> None:
        """Begin another flow if the addresses are used again."""
        idle_s = at - self._seen_at.get(flow, at)
        self._seen_at[flow] = at
        if idle_s > explanations.FLOW_IDLE_S and flow in self._current:
            self._ended.append(self._current.pop(flow))

    def _put(self, flow: str, finding: _Finding) -> None:
        known = self._current.get(flow)
        if known is None or _RANKS[finding.cause] < _RANKS[known.cause]:
            self._current[flow] = finding

    def list_all(self) -> list[_Finding]:
        """Return one finding a flow."""
        return [*self._ended, *self._current.values()]


def find_losses(
    events: typing.Iterable[explanations.Event], *, window_s: float
) -> list[Loss]:
    """Return the losses, in order of time; events may come in any order."""
    findings = _Findings()
    for event in sorted(events, key=lambda event: event.at):
        findings.add(event)
    counts = collections.Counter(
        (
            finding.at // window_s * window_s,
            findings.domains.get(finding.vm, UNKNOWN),
            finding.cause,
            finding.detail,
        )
        for finding in findings.list_all()
    )
    losses = [
        Loss(
            at=at,
            failure_domain=domain,
            cause=cause,
            detail=detail,
            flows=flows,
        )
        for (at, domain, cause, detail), flows in counts.items()
    ]
    return sorted(
        losses, key=lambda loss: (loss.at, loss.failure_domain, -loss.flows)
    )


def _find_cause(
    event: explanations.Event, started_at: float | None
) -> _Finding | None:
    """Return what a line says about its flow, None if nothing is wrong."""
    cause: Cause | None = None
    detail = ''
    match event.name:
        case 'opening_refused':
            cause, detail = Cause.REFUSED, opening_loads.find_reason(event)
        case 'opening_dropped':
            cause, detail = Cause.UNINFORMED, opening_loads.find_reason(event)
        case 'flow_reset':
            cause = Cause.RESET
        case 'packet_dropped':
            cause = Cause.UNKNOWN_TAG
        case 'opening_moved':
            cause = Cause.UPSTREAM_SILENT
        case 'answer_short':
            cause = Cause.SHORT_ANSWER
        case 'flow_opened' if event.get('copy'):
            cause = Cause.LOST_EARLIER
            if (
                started_at is not None
                and event.at - started_at <= START_WINDOW_S
            ):
                cause = Cause.STARTED_LATE
    if cause is None:
        return None
    return _Finding(cause, event.at, event.vm, detail)
