"""Places flows of a route with several backends, some full or without use.

A flow's first service is the one drawn by the weights of its route. If that
has no usable upstream or none that admits the flow, the other services with a
weight are tried. Functions here depend on their arguments alone.

    >>> backends = (Backend('a', 90), Backend('b', 10), Backend('c', 0))
    >>> list_services(backends, 'b')
    ['b', 'a']
"""

import typing

import attrs

from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.placement import selection


@attrs.frozen(eq=False, repr=False)
class Placed:
    """The service and the upstream of the flow.

    ``reason`` is why the first service was not used, '' if it was.
    """

    service: str
    choice: selection.Chosen
    reason: str


@attrs.frozen(eq=False, repr=False)
class Unplaced:
    """No service admits the flow.

    ``reason`` is that of the first one, ``choice`` its choice if it has no
    upstream for the flow.
    """

    reason: str
    choice: selection.Choice | None = None


Placement = Placed | Unplaced


def list_services(
    backends: typing.Iterable[records.Backend],
    drawn: str,
    pending: str | None = None,
) -> list[str]:
    """Return the services of a route in the order in which to try them.

    ``drawn`` is the service drawn by weight, ``pending`` the one that has an
    earlier copy of the opening. That goes first, so that the flow is not
    opened at two services as soon as the drawn one admits flows again.
    """
    ordered = sorted(backends, key=lambda backend: -backend.weight)
    others = [backend.service for backend in ordered if backend.weight > 0]
    first = [drawn]
    if pending is not None and pending in others:
        first.insert(0, pending)
    # A dict drops repetitions and keeps the order.
    return list(dict.fromkeys([*first, *others]))


def place_flow(
    services: typing.Sequence[str],
    context: selection.ChoiceContext,
    *,
    choose: typing.Callable[[str], selection.Choice],
    check: typing.Callable[[selection.Chosen], str],
    pending: str | None = None,
) -> Placement:
    """Return the first service that has a usable upstream and admits a flow.

    ``choose`` returns the choice among the upstreams of a service, ``check``
    why a choice does not admit the flow, '' if it does. The service that has
    an earlier copy of the opening, ``pending``, has admitted it already.
    Upstreams that are suspect, or got earlier copies, are used only if no
    service admits the flow elsewhere.
    """
    reasons: dict[str, str] = {}
    failures: dict[str, selection.Choice] = {}
    last_resorts: list[tuple[str, selection.Chosen]] = []

    def admit(service: str, choice: selection.Chosen) -> bool:
        reasons[service] = '' if service == pending else check(choice)
        return not reasons[service]

    for service in services:
        choice = choose(service)
        match choice:
            case selection.Chosen():
                if not _is_usable(choice, context):
                    reasons[service] = f'no upstream of {service} answers'
                    last_resorts.append((service, choice))
                elif admit(service, choice):
                    return Placed(service, choice, reasons[services[0]])
            case _:
                reason = selection.describe_failure(choice)
                reasons[service] = f'{reason} for {service}'
                failures[service] = choice
    for service, choice in last_resorts:
        if admit(service, choice):
            return Placed(service, choice, reasons[services[0]])
    return Unplaced(reasons[services[0]], failures.get(services[0]))


def _is_usable(
    choice: selection.Chosen, context: selection.ChoiceContext
) -> bool:
    """Return whether a choice is no last resort of its service.

    A suspect is usable for a retry. ``choose_upstream`` retries suspects only
    beside healthy upstreams; a service that has none needs retries too, as
    it would get no flow until the suspicion expires.
    """
    state = choice.state
    if state.upstream.tag in context.excluded:
        return False
    now = context.now
    if not upstreams.is_suspect(state, now) or state.retried_at == now:
        return True
    if context.excluded or not selection.is_retry_due(state, now):
        return False
    state.retried_at = now
    return True
