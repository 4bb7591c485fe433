"""Tells what happened to one request, from the event logs of VMs.

Nothing is read here but lines. A story has the events of the request's flows
in order of time, the events of VMs and upstreams around them, and what
follows from both.

    >>> story = tell_story(parse_events(lines), '3a625ff56b31b939')
    >>> [conclusion.text for conclusion in story.conclusions]
    ['upstream i-1 vanished 3.4 s after it got the request; ...']
"""

import json
import typing

import attrs

# A flow ends after this long without a packet, in seconds; an event of the
# same addresses further away belongs to another flow.
FLOW_IDLE_S = 15.0
# An entry of an upstream that crashed expires after three heartbeats of
# 1.2 s, and VMs hear of it within the next second or two.
CRASH_SEEN_S = 6.0
# Events of VMs that may explain what happened this long before or after.
AROUND_S = 2.0

_FLOW_EVENTS = frozenset(
    {
        'flow_opened',
        'opening_moved',
        'opening_refused',
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
        'stopping',
        'stopped',
        'store_lost',
        'store_regained',
        'peer_lost',
        'configuration_adopted',
        'reloaded',
        'reload_failed',
        'task_failed',
    }
)
_UPSTREAM_EVENTS = frozenset(
    {'upstream_added', 'upstream_updated', 'upstream_removed', 'lapse_ended'}
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
    """What follows from the events, and the event that it rests on."""

    text: str
    evidence: Event


@attrs.frozen
class Story:
    """What happened to a request.

    ``flows`` are the flows that carried it, ``events`` what happened to
    them, ``around`` what happened to VMs and upstreams meanwhile.
    """

    wanted: str
    flows: tuple[str, ...] = ()
    events: tuple[Event, ...] = ()
    around: tuple[Event, ...] = ()
    conclusions: tuple[Conclusion, ...] = ()


def parse_events(lines: typing.Iterable[str]) -> list[Event]:
    """Return the events of log lines in order of time.

    Whatever a log collector puts before an event's JSON is ignored, and so
    are lines without an event.
    """
    events = []
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
        events.append(event)
    return sorted(events, key=lambda event: event.at)


def tell_story(events: list[Event], wanted: str) -> Story:
    """Return the story of a request's id, or of a flow.

    A flow is written ``CLIENT:PORT>SERVICE:PORT``; its beginning is enough.
    The story has no events if nothing was logged about it.
    """
    named = [event for event in events if _is_about(event, wanted)]
    if not named:
        return Story(wanted)
    flows = tuple(dict.fromkeys(event.get('flow') for event in named))
    began, ended = named[0].at - FLOW_IDLE_S, named[-1].at + FLOW_IDLE_S
    own = tuple(
        event
        for event in events
        if event.name in _FLOW_EVENTS
        and event.get('flow') in flows
        and began <= event.at <= ended
    )
    around = _list_around(events, own)
    return Story(wanted, flows, own, around, _conclude(own, around))


def _is_about(event: Event, wanted: str) -> bool:
    if event.name not in _FLOW_EVENTS:
        return False
    if event.get('request_id') == wanted:
        return True
    return '.' in wanted and (event.get('flow') or '').startswith(wanted)


def _list_around(
    events: list[Event], own: tuple[Event, ...]
) -> tuple[Event, ...]:
    """Return what happened to the VMs and upstreams of the flows."""
    vms = {event.vm for event in own}
    upstreams = {event.get('upstream') for event in own}
    began, ended = own[0].at, own[-1].at
    return tuple(
        event
        for event in events
        if (
            event.name in _VM_EVENTS
            and event.vm in vms
            and began - AROUND_S <= event.at <= ended + AROUND_S
        )
        or (
            event.name in _UPSTREAM_EVENTS
            and event.get('upstream') in upstreams
            and began - CRASH_SEEN_S <= event.at <= ended + CRASH_SEEN_S
        )
    )


def _conclude(
    own: tuple[Event, ...], around: tuple[Event, ...]
) -> tuple[Conclusion, ...]:
    conclusions = []
    for event in own:
        text = _explain_decision(event)
        if text:
            conclusions.append(Conclusion(text, event))
    conclusions += _explain_losses(own, around)
    conclusions += _explain_vms(around)
    for event in (*own, *around):
        left_out = event.get('left_out_before')
        if left_out:
            text = f'{left_out} lines of {event.name} were left out before'
            conclusions.append(Conclusion(text, event))
    return tuple(conclusions)


def _explain_decision(event: Event) -> str:
    """Return what a decision about the flow meant to its caller."""
    reason = event.get('reason')
    match event.name:
        case 'opening_refused' if 'expected after' in reason:
            return (
                f'overload: {reason}, too late for the route; nothing has '
                'run, the caller may come back'
            )
        case 'opening_refused':
            return f'the opening was refused: {reason}; nothing has run'
        case 'opening_dropped':
            return f'the opening was dropped: {reason}; a copy follows'
        case 'opening_moved':
            return (
                'an earlier copy of the opening was not answered; this one '
                f'went to {event.get("upstream")}'
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


def _explain_losses(
    own: tuple[Event, ...], around: tuple[Event, ...]
) -> list[Conclusion]:
    """Return which upstreams went away with a request."""
    conclusions = []
    requests = {
        event.get('upstream'): event
        for event in own
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
    """Return what was wrong with the VMs on the way."""
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
                text = f'{event.vm} has a defect: {event.get("why")}'
            case _:
                continue
        conclusions.append(Conclusion(text, event))
    return conclusions
