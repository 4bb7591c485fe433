"""Chooses the upstream of a new flow.

Each candidate is weighed by the work before a new request there: what this
VM has sent there, what its peers report, the load that its long flows bring
on average, per slot. Decisions depend on their arguments alone.

    >>> choose_upstream([], Circumstances(now=0.0, failure_domain='a')).reason
    'no upstream is known'
"""

import random
import typing

import attrs

from _savoryhaven.placement import upstreams

# A failed opening makes an upstream a suspect for so long, in seconds; then
# one opening tries it again. Three heartbeats of 1.2 s end a dead entry.
SUSPICION_S = 4.0
# Between two trial openings at one suspect, in seconds.
RETRY_INTERVAL_S = 0.8
# A peer's report of failed openings counts for so long, in seconds: a few
# heartbeats. An answer that is no older than a copy's delay outweighs it.
REPORT_LIFETIME_S = 1.0
ANSWER_OUTWEIGHS_S = 0.25
# Weight of the load of the last seconds beside that of the moment.
LASTING_WEIGHT = 0.5
# What another failure domain adds to the load per slot: a few milliseconds
# of round trips beside requests of tens of milliseconds.
DISTANCE_COST = 0.08
# An upstream that has just started works about 1.6 times as long.
COLD_FACTOR = 1.6
# Loads closer than this are taken as equal, in requests per slot.
NOISE = 0.02


@attrs.frozen(kw_only=True, eq=False, repr=False)
class Circumstances:
    """What a choice depends on besides the candidates."""

    now: float
    failure_domain: str
    excluded: frozenset[int] = frozenset()
    source: random.Random = attrs.field(factory=random.Random)


@attrs.frozen(eq=False, repr=False)
class Chosen:
    """The flow opens here. ``cost`` is the load per slot that decided."""

    state: upstreams.UpstreamState
    cost: float
    candidates: int


@attrs.frozen(eq=False, repr=False)
class NoUpstream:
    """No upstream can take the flow."""

    reason: str


Choice = Chosen | NoUpstream


def choose_upstream(
    states: typing.Iterable[upstreams.UpstreamState],
    circumstances: Circumstances,
) -> Choice:
    """Return the least loaded upstream that takes new flows.

    Suspects are chosen only as a trial, or when nothing else is left; so
    are upstreams that earlier copies of the opening were sent to.
    """
    usable = [state for state in states if takes_new_flows(state)]
    if not usable:
        return NoUpstream('no upstream is known')
    now = circumstances.now
    fresh = [
        state
        for state in usable
        if state.upstream.tag not in circumstances.excluded
    ]
    healthy = [state for state in fresh if not is_suspect(state, now)]
    candidates = healthy or fresh or usable
    trial = _find_due_trial(fresh, now) if not circumstances.excluded else None
    if trial is not None and healthy:
        trial.retried_at = now
        return Chosen(trial, 0.0, len(candidates))
    return _choose_least_loaded(candidates, circumstances)


def _choose_least_loaded(
    candidates: list[upstreams.UpstreamState], circumstances: Circumstances
) -> Chosen:
    best = candidates[0]
    least = float('inf')
    for state in candidates:
        cost = compute_cost(state, circumstances)
        cost += circumstances.source.random() * NOISE
        if cost < least:
            best, least = state, cost
    return Chosen(best, least, len(candidates))


def takes_new_flows(state: upstreams.UpstreamState) -> bool:
    """Return whether an upstream may get new flows at all."""
    if state.upstream.draining or state.tag_taken:
        return False
    return state.lapsed or state.removed_at == float('inf')


def is_suspect(state: upstreams.UpstreamState, now: float) -> bool:
    """Return whether openings failed there and nothing was answered since."""
    return has_failed(state, now) or is_reported(state, now)


def has_failed(state: upstreams.UpstreamState, now: float) -> bool:
    """Return whether openings of this VM failed there.

    This is what peers are told, so that a report does not feed itself.
    """
    return state.failures > 0 and now - state.failed_at < SUSPICION_S


def is_reported(state: upstreams.UpstreamState, now: float) -> bool:
    """Return whether a peer's openings failed, and this VM knows no better."""
    heard_s = now - state.reported_failed_at
    silent_s = state.reported_failed_at - state.answered_at
    return heard_s < REPORT_LIFETIME_S and silent_s > ANSWER_OUTWEIGHS_S


def _find_due_trial(
    states: list[upstreams.UpstreamState], now: float
) -> upstreams.UpstreamState | None:
    """Return a suspect that should be tried again.

    Only one whose suspicion rests on a single failure: a lost packet looks
    the same. Where more failed, the store or an answer has to speak first.
    """
    for state in states:
        if state.failures == 1 and has_failed(state, now):
            since = max(state.retried_at, state.failed_at)
            if now - since >= RETRY_INTERVAL_S:
                return state
    return None


def compute_cost(
    state: upstreams.UpstreamState, circumstances: Circumstances
) -> float:
    """Return the load per slot that a new request would meet."""
    now = circumstances.now
    state.update_averages(now)
    lasting = state.lasting_load + state.reported_lasting
    load = state.load + LASTING_WEIGHT * lasting
    if now < state.warm_at:
        load = (load + 1.0) * COLD_FACTOR - 1.0
    cost = load / max(1, state.upstream.slots)
    if state.upstream.failure_domain != circumstances.failure_domain:
        cost += DISTANCE_COST
    return cost
