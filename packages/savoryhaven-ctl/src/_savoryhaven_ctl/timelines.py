"""Sums up the event logs of a fleet by windows of time.

The first question after a complaint without an id is when callers were not
served, and what happened to VMs and upstreams then.

    >>> [window.list_notes() for window in summarize(events, 2.0)]
    [['3 VMs started', 'no VM logged anything for 1.4 s before']]
"""

import collections
import typing

import attrs

from _savoryhaven_ctl import explanations

# A fleet that serves callers logs several lines a second.
SILENCE_S = 1.0

# What VMs did, in the order in which it is shown.
_VM_NOTES = {
    'started': 'started',
    'stop_delayed': 'delayed a planned stop',
    'stopping': 'stopped as planned',
    'paused': 'did not run for a while',
    'not_ready': 'left the rotation',
    'store_lost': 'lost the store',
    'store_call_failed': 'had more calls to the store fail',
    'store_regained': 'reached the store again',
    'store_history_gone': 'read the store anew',
    'store_era_changed': 'found that the store came back from an older copy',
    'store_behind': 'found an older configuration in the store',
    'upstream_kept': 'kept the state of an upstream against the store',
    'evacuation_kept': 'kept a failure domain evacuated against the store',
    'peer_lost': 'lost peers',
    'snapshot_requested': 'requested a snapshot from a peer',
    'configuration_adopted': 'adopted a configuration',
    'store_answer_unreadable': 'could not read an answer of the store',
    'peer_field_unreadable': 'could not read a field of a peer\'s message',
    'reload_failed': 'found invalid settings',
    'task_failed': 'had a task fail',
}


@attrs.define
class Window:
    """The events of all VMs in one window of time.

    Times are in seconds since 1970. ``counts`` are lines by event, those that
    VMs left out included; ``vms`` the VMs by event; ``added``, ``removed`` and
    ``lapsed`` upstreams, ``added`` by VM. ``evacuated`` and ``restored`` have
    the VMs that learned of it by failure domain; ``cold`` and ``warm`` are
    upstreams. ``silent_s`` is how long no VM had logged anything before the
    first event.
    """

    first_at: float
    last_at: float
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    vms: dict[str, set[str]] = attrs.field(factory=dict)
    added: dict[str, set[str]] = attrs.field(factory=dict)
    removed: set[str] = attrs.field(factory=set)
    lapsed: set[str] = attrs.field(factory=set)
    evacuated: dict[str, set[str]] = attrs.field(factory=dict)
    restored: dict[str, set[str]] = attrs.field(factory=dict)
    cold: set[str] = attrs.field(factory=set)
    warm: set[str] = attrs.field(factory=set)
    silent_s: float = 0.0

    def add(self, event: explanations.Event) -> None:
        """Count an event."""
        self.first_at = min(self.first_at, event.at)
        self.last_at = max(self.last_at, event.at)
        left_out = event.get('left_out_before')
        self.counts[event.name] += 1 + (
            left_out if isinstance(left_out, int) else 0
        )
        self.vms.setdefault(event.name, set()).add(event.vm)
        upstream = str(event.get('upstream'))
        match event.name:
            case 'upstream_added':
                self.added.setdefault(event.vm, set()).add(upstream)
            case 'upstream_removed' if event.get('lapsed'):
                self.lapsed.add(upstream)
            case 'upstream_removed':
                self.removed.add(upstream)
            case 'upstream_cold':
                self.cold.add(upstream)
            case 'upstream_warm':
                self.warm.add(upstream)
            case 'domain_evacuated':
                domain = str(event.get('domain'))
                self.evacuated.setdefault(domain, set()).add(event.vm)
            case 'domain_restored':
                domain = str(event.get('domain'))
                self.restored.setdefault(domain, set()).add(event.vm)

    def count_vms(self) -> int:
        """Return how many VMs logged anything."""
        return len(set().union(*self.vms.values()))

    def list_notes(self) -> list[str]:
        """Return what happened to VMs and upstreams."""
        notes = [
            f'{_count(len(self.vms[name]), "VM")} {text}'
            for name, text in _VM_NOTES.items()
            if name in self.vms
        ]
        for domains, state in (
            (self.evacuated, 'evacuated'),
            (self.restored, 'restored'),
        ):
            for domain, vms in sorted(domains.items()):
                notes.append(
                    f'{_count(len(vms), "VM")} learned that failure domain '
                    f'{domain} is {state}'
                )
        for upstreams, text in (
            (self.removed, 'removed'),
            (self.lapsed, 'removed after an outage of the store'),
            (self._list_added(), 'added'),
            (self.cold, 'cold'),
            (self.warm, 'warm'),
        ):
            if upstreams:
                notes.append(f'{_count(len(upstreams), "upstream")} {text}')
        if self.silent_s > SILENCE_S:
            notes.append(
                f'no VM logged anything for {self.silent_s:.1f} s before'
            )
        return notes

    def _list_added(self) -> set[str]:
        """Return upstreams that are new to VMs that have not just started."""
        started = self.vms.get('started', set())
        return set().union(
            *(new for vm, new in self.added.items() if vm not in started)
        )


def summarize(
    events: typing.Iterable[explanations.Event], window_s: float
) -> list[Window]:
    """Return the windows with events, in order of time.

    Events may come in any order; only counts and names are kept of them.
    """
    windows: dict[int, Window] = {}
    for event in events:
        number = int(event.at // window_s)
        window = windows.get(number)
        if window is None:
            window = windows[number] = Window(event.at, event.at)
        window.add(event)
    ordered = [windows[number] for number in sorted(windows)]
    for before, window in zip(ordered, ordered[1:], strict=False):
        window.silent_s = window.first_at - before.last_at
    return ordered


def _count(number: int, noun: str) -> str:
    return f'{number} {noun}' if number == 1 else f'{number} {noun}s'
