"""Chooses the upstream of a new flow.

The cost of a candidate is its load per slot: the requests in flight of this
VM, those that peers report and the average load of its long-lived flows, each
with its weight. Functions here depend on their arguments alone.

    >>> choose_upstream([], ChoiceContext(now=0.0, failure_domain='a')).reason
    'no upstream is known'
"""

import random
import typing

import attrs

from _savoryhaven.model import upstreams

# Interval between retries at one suspect.
RETRY_INTERVAL_S = 0.8
# Weight of the loads that peers report; this VM's own requests in flight have
# 1. All VMs react to the same reports: with a weight of 1 they all choose what
# was idle, until the next reports show that it no longer is.
PEER_LOAD_WEIGHT = 0.5
# Weight of the average load of the last seconds.
LASTING_LOAD_WEIGHT = 0.5
# Added to the load per slot in another failure domain: round trips take a few
# milliseconds more, requests take tens of milliseconds.
REMOTE_DOMAIN_COST = 0.08
# An upstream that has just started takes about 1.6 times as long per request.
WARM_UP_FACTOR = 1.6
# Costs closer than this count as equal: a random part of it is added to each.
COST_JITTER = 0.02


@attrs.frozen(kw_only=True, eq=False, repr=False)
class ChoiceContext:
    """Inputs of a choice besides the candidates.

    ``excluded`` are tags of upstreams that are a last resort. Upstreams in
    ``excluded_domains`` are never chosen.
    """

    now: float
    failure_domain: str
    excluded: frozenset[int] = frozenset()
    excluded_domains: frozenset[str] = frozenset()
    source: random.Random = attrs.field(factory=random.Random)


@attrs.frozen(eq=False, repr=False)
class Chosen:
    """The upstream of the flow; ``cost`` is its load per slot."""

    state: upstreams.UpstreamState
    cost: float
    candidates: int


@attrs.frozen(eq=False, repr=False)
class NoUpstream:
    """No upstream can serve the flow."""

    reason: str


@attrs.frozen(eq=False, repr=False)
class AllEvacuated:
    """All upstreams that could serve the flow are in excluded domains."""


@attrs.frozen(eq=False, repr=False)
class AllCold:
    """All upstreams are cold, and got as many openings as they may get."""


Choice = Chosen | NoUpstream | AllEvacuated | AllCold


def describe_failure(choice: Choice) -> str:
    """Return why there is no upstream for a flow, '' if there is one."""
    match choice:
        case NoUpstream(reason):
            return reason
        case AllEvacuated():
            return 'all failure domains with its upstreams are evacuated'
        case AllCold():
            return 'all upstreams are cold'
        case Chosen():
            return ''


def choose_upstream(
    states: typing.Iterable[upstreams.UpstreamState],
    context: ChoiceContext,
) -> Choice:
    """Return the least loaded upstream that takes new flows.

    A suspect is chosen only to retry it, or if there is no other upstream.
    Upstreams that got earlier copies of the opening are a last resort too.
    """
    usable = [state for state in states if takes_new_flows(state)]
    if not usable:
        return NoUpstream('no upstream is known')
    if context.excluded_domains:
        usable = [
            state
            for state in usable
            if state.upstream.failure_domain not in context.excluded_domains
        ]
        if not usable:
            return AllEvacuated()
    now = context.now
    fresh = [
        state for state in usable if state.upstream.tag not in context.excluded
    ]
    healthy = [
        state for state in fresh if not upstreams.is_suspect(state, now)
    ]
    candidates = healthy or fresh or usable
    retry = _find_due_retry(fresh, now) if not context.excluded else None
    if retry is not None and healthy:
        retry.retried_at = now
        return Chosen(retry, 0.0, len(candidates))
    return _choose_least_loaded(candidates, context)


def _choose_least_loaded(
    candidates: list[upstreams.UpstreamState], context: ChoiceContext
) -> Chosen:
    best = candidates[0]
    least = float('inf')
    for state in candidates:
        cost = compute_cost(state, context)
        cost += context.source.random() * COST_JITTER
        if cost < least:
            best, least = state, cost
    return Chosen(best, least, len(candidates))


def takes_new_flows(state: upstreams.UpstreamState) -> bool:
    """Return whether an upstream may get new flows."""
    if state.upstream.draining or state.tag_taken:
        return False
    return state.lapsed or state.removed_at == float('inf')


def _find_due_retry(
    states: list[upstreams.UpstreamState], now: float
) -> upstreams.UpstreamState | None:
    """Return a suspect that is due for a retry."""
    for state in states:
        if is_retry_due(state, now):
            return state
    return None


def is_retry_due(state: upstreams.UpstreamState, now: float) -> bool:
    """Return whether an upstream is a suspect that is due for a retry.

    Only suspects with a single failure are retried, as a lost packet looks
    the same. After more failures an upstream stays suspect until it answers,
    the store removes it, or the suspicion expires.
    """
    if state.failures != 1 or not upstreams.has_failed(state, now):
        return False
    since = max(state.retried_at, state.failed_at)
    return now - since >= RETRY_INTERVAL_S


def compute_cost(
    state: upstreams.UpstreamState, context: ChoiceContext
) -> float:
    """Return the load per slot that a new request would find."""
    now = context.now
    state.update_averages(now)
    lasting = state.lasting_load + state.reported_lasting
    load = state.in_flight + PEER_LOAD_WEIGHT * state.reported_load
    load += LASTING_LOAD_WEIGHT * lasting
    if now < state.warm_up_ends_at:
        load = (load + 1.0) * WARM_UP_FACTOR - 1.0
    if state.speed_factor != 1.0:
        load = (load + 1.0) * state.speed_factor - 1.0
    cost = load / max(1, state.upstream.slots)
    if state.upstream.failure_domain != context.failure_domain:
        cost += REMOTE_DOMAIN_COST
    return cost
