"""Explains what happened to one request, from the event logs of VMs.

The only input is log lines. An explanation has the events of the request's
flows in order of time, the events of VMs and upstreams around them, and the
conclusions from both.

    >>> explanation = explain(parse_events(lines), '3a625ff56b31b939')
    >>> [conclusion.text for conclusion in explanation.conclusions]
    ['upstream i-1 vanished 3.4 s after it got the request; ...']
"""

import json
import typing

import attrs

# A flow ends after this time without a packet; events of the same addresses
# further apart belong to another flow.
FLOW_IDLE_S = 15.0
# The entry of a crashed upstream expires after three heartbeats of 1.2 s, and
# VMs receive its removal within the next second or two.
CRASH_DETECTION_S = 6.0
# How long before and after a flow's events those of VMs are included.
VM_EVENT_MARGIN_S = 2.0

_FLOW_EVENTS = frozenset(
    {
        'flow_opened',
        'flow_placed',
        'opening_ignored',
        'opening_moved',
        'opening_refused',
        'opening_retagged',
        'opening_dropped',
        'request_forwarded',
        'answer_short',
        'packet_dropped',
        'flow_reset',
    }
)
_VM_EVENTS = frozenset(
    {
        'started',
        'ready',
        'not_ready',
        'paused',
        'stop_delayed',
        'stopping',
        'stopped',
        'store_lost',
        'store_regained',
        'store_era_changed',
        'store_behind',
        'store_answer_unreadable',
        'peer_lost',
        'configuration_adopted',
        'reloaded',
        'reload_failed',
        'task_failed',
    }
)
_UPSTREAM_EVENTS = frozenset(
    {
        'upstream_added',
        'upstream_updated',
        'upstream_removed',
        'upstream_kept',
        'upstream_cold',
        'upstream_warm',
        'lapse_ended',
    }
)
_DOMAIN_EVENTS = frozenset(
    {'domain_evacuated', 'domain_restored', 'evacuation_kept'}
)


@attrs.frozen
class Event:
    """One line of a VM's log; ``at`` is in seconds since 1970."""

    name: str
    at: float
    vm: str
    fields: typing.Mapping[str, typing.Any] = attrs.field(factory=dict)

    def get(self, field: str) -> typing.Any:
        """Return a field, or None."""
        return self.fields.get(field)


@attrs.frozen
class Conclusion:
    """A conclusion from the events, and the event that supports it."""

    text: str
    evidence: Event


@attrs.frozen
class Explanation:
    """What happened to a request.

    ``flows`` are the flows that carried it, ``events`` the events of these
    flows, ``around`` those of VMs and upstreams at about the same time.
    """

    wanted: str
    flows: tuple[str, ...] = ()
    events: tuple[Event, ...] = ()
    around: tuple[Event, ...] = ()
    conclusions: tuple[Conclusion, ...] = ()


def iterate_events(lines: typing.Iterable[str]) -> typing.Iterator[Event]:
    """Return the events of log lines, in the order of the lines.

    Prefixes that a log collector adds to an event's JSON are ignored, and so
    are lines without an event.
    """
    for line in lines:
        _, brace, rest = line.partition('{')
        try:
            fields = json.loads(brace + rest)
            event = Event(
                fields.pop('event'),
                float(fields.pop('at')),
                fields.pop('vm', ''),
                fields,
            )
        except (ValueError, KeyError, TypeError):
            continue
        yield event


def parse_events(lines: typing.Iterable[str]) -> list[Event]:
    """Return the events of log lines in order of time."""
    return sorted(iterate_events(lines), key=lambda event: event.at)


def explain(events: list[Event], wanted: str) -> Explanation:
    """Return the explanation of a request, given its id or its flow.

    A flow is written ``CLIENT:PORT>SERVICE:PORT``, of which a prefix is
    enough. The explanation has no events if none was logged for it.
    """
    matching = [event for event in events if _matches(event, wanted)]
    if not matching:
        return Explanation(wanted)
    flows = tuple(dict.fromkeys(event.get('flow') for event in matching))
    began, ended = matching[0].at - FLOW_IDLE_S, matching[-1].at + FLOW_IDLE_S
    flow_events = tuple(
        event
        for event in events
        if event.name in _FLOW_EVENTS
        and event.get('flow') in flows
        and began <= event.at <= ended
    )
    around = _list_around(events, flow_events)
    return Explanation(
        wanted,
        flows,
        flow_events,
        around,
        _draw_conclusions(flow_events, around),
    )


def _matches(event: Event, wanted: str) -> bool:
    if event.name not in _FLOW_EVENTS:
        return False
    if event.get('request_id') == wanted:
        return True
    return '.' in wanted and (event.get('flow') or '').startswith(wanted)


def _list_around(
    events: list[Event], flow_events: tuple[Event, ...]
) -> tuple[Event, ...]:
    """Return the events of the flows' VMs and upstreams."""
    vms = {event.vm for event in flow_events}
    upstreams = {event.get('upstream') for event in flow_events}
    began, ended = flow_events[0].at, flow_events[-1].at
    near = tuple(
        event
        for event in events
        if (
            event.name in _VM_EVENTS | _DOMAIN_EVENTS
            and event.vm in vms
            and began - VM_EVENT_MARGIN_S
            <= event.at
            <= ended + VM_EVENT_MARGIN_S
        )
        or (
            event.name in _UPSTREAM_EVENTS
            and event.get('upstream') in upstreams
            and began - CRASH_DETECTION_S
            <= event.at
            <= ended + CRASH_DETECTION_S
        )
    )
    before = began - VM_EVENT_MARGIN_S
    return (*_list_evacuated(events, vms, before), *near)


def _list_evacuated(
    events: list[Event], vms: set[str], before: float
) -> list[Event]:
    """Return the events by which VMs had domains evacuated before a time.

    An evacuation may last for days, and refuses openings as long.
    """
    latest: dict[tuple[str, str], Event] = {}
    for event in events:
        if event.name not in _DOMAIN_EVENTS or event.vm not in vms:
            continue
        if event.at < before:
            latest[event.vm, str(event.get('domain'))] = event
    return [
        event for event in latest.values() if event.name != 'domain_restored'
    ]


def _draw_conclusions(
    flow_events: tuple[Event, ...], around: tuple[Event, ...]
) -> tuple[Conclusion, ...]:
    conclusions = []
    for event in flow_events:
        text = _explain_decision(event)
        if text:
            conclusions.append(Conclusion(text, event))
    conclusions += _explain_removals(flow_events, around)
    conclusions += _explain_vms(around)
    conclusions += _explain_cold(around)
    conclusions += _explain_domains(around)
    for event in (*flow_events, *around):
        left_out = event.get('left_out_before')
        if left_out:
            text = f'{left_out} lines of {event.name} were left out before'
            conclusions.append(Conclusion(text, event))
    return tuple(conclusions)


def _explain_decision(event: Event) -> str:
    """Return the effect of a decision about the flow on its client."""
    reason = event.get('reason') or 'no reason is logged'
    match event.name:
        case 'opening_refused':
            return _explain_refusal(reason)
        case 'opening_dropped':
            return f'the opening was dropped: {reason}; a copy follows'
        case 'opening_ignored':
            return f'a copy of the opening was dropped: {reason}'
        case 'opening_moved':
            return (
                'an earlier copy of the opening was not answered; this one '
                f'was sent to {event.get("upstream")}'
            )
        case 'flow_placed':
            return (
                'more than one upstream may have answered the opening; the '
                f'flow is at {event.get("upstream")}'
            )
        case 'opening_retagged':
            return (
                f'upstream {event.get("upstream")} may have answered the '
                'opening, too; it was told that the flow is at '
                f'{event.get("owner")}'
            )
        case 'answer_short':
            return (
                f'upstream {event.get("upstream")} answered with '
                f'{event.get("answer_bytes")} bytes where '
                f'{event.get("usual_bytes")} are usual: perhaps an error'
            )
        case 'packet_dropped':
            return f'a packet was dropped: {reason}'
        case 'flow_reset':
            return (
                f'the flow was reset, as upstream {event.get("upstream")} '
                'has ended'
            )
    return ''


def _explain_refusal(reason: str) -> str:
    """Return why an opening was refused, and what its client may do."""
    if 'expected after' in reason:
        return (
            f'overload: {reason}, too late for the route; nothing has '
            'run, the client may retry'
        )
    if 'are evacuated' in reason:
        return (
            f'evacuation: {reason}; nothing has run, and a retry is '
            'refused until the operator restores one of them'
        )
    if 'are cold' in reason:
        return (
            f'cold start: {reason}, and take only a few openings a '
            'second; nothing has run, the client may retry'
        )
    return f'the opening was refused: {reason}; nothing has run'


def _explain_removals(
    flow_events: tuple[Event, ...], around: tuple[Event, ...]
) -> list[Conclusion]:
    """Return which upstreams were removed after they got a request."""
    conclusions = []
    requests = {
        event.get('upstream'): event
        for event in flow_events
        if event.name == 'request_forwarded'
    }
    for upstream, request in requests.items():
        changes = [e for e in around if e.get('upstream') == upstream]
        removed = next(
            (
                change
                for change in changes
                if change.name == 'upstream_removed'
                and change.at >= request.at
                and not change.get('lapsed')
            ),
            None,
        )
        if removed is None:
            continue
        drained = any(change.get('draining') for change in changes)
        text = (
            f'upstream {upstream} {"left" if drained else "vanished"} '
            f'{removed.at - request.at:.1f} s after it got the request'
        )
        if not drained:
            text += ': it crashed or was cut off, and may have run it'
        conclusions.append(Conclusion(text, removed))
    return conclusions


def _explain_vms(around: tuple[Event, ...]) -> list[Conclusion]:
    """Return problems of the VMs that forwarded the flows."""
    conclusions = []
    for event in around:
        match event.name:
            case 'paused':
                text = f'{event.vm} did not run for {event.get("for_s")} s'
            case 'store_lost':
                text = f'{event.vm} lost the store ({event.get("code")})'
            case 'peer_lost':
                text = f'{event.vm} lost {event.get("peer")}'
            case 'stopping':
                text = f'{event.vm} was stopped as planned'
            case 'started':
                text = f'{event.vm} started: it may have been killed before'
            case 'task_failed':
                text = f'a task of {event.vm} failed: {event.get("why")}'
            case _:
                continue
        conclusions.append(Conclusion(text, event))
    return conclusions


def _explain_cold(around: tuple[Event, ...]) -> list[Conclusion]:
    """Return the upstreams that were cold, once for all VMs."""
    first: dict[str, Event] = {}
    for event in around:
        if event.name == 'upstream_cold':
            first.setdefault(str(event.get('upstream')), event)
    return [
        Conclusion(f'upstream {upstream} was cold: {event.get("why")}', event)
        for upstream, event in first.items()
    ]


def _explain_domains(around: tuple[Event, ...]) -> list[Conclusion]:
    """Return which failure domains were evacuated or restored at the VMs."""
    conclusions = []
    for event in around:
        domain = f'failure domain {event.get("domain")}'
        match event.name:
            case 'domain_evacuated':
                text = (
                    f'{event.vm} opened no flows at the upstreams '
                    f'({event.get("upstreams")}) of {domain}, which the '
                    'operator had evacuated'
                )
            case 'domain_restored':
                text = (
                    f'{event.vm} learned that the operator had restored '
                    f'{domain}'
                )
            case 'evacuation_kept':
                text = (
                    f'{event.vm} kept {domain} evacuated, which the copy '
                    'that the store came back from lacks'
                )
            case _:
                continue
        conclusions.append(Conclusion(text, event))
    return conclusions
