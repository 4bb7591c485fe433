"""Counts what became of openings, from the event logs of a fleet.

The counts are broken down by failure domain and class of the VM, by route,
and by first try or copy. Refusals are also counted by reason.

    >>> tabulate(events).refusals
    Counter({'an answer is expected after N s': 220})
"""

import collections
import re
import typing

import attrs

from _savoryhaven_ctl import explanations

UNKNOWN = 'unknown'

FAILURE_DOMAIN = 'failure domain'
VM_CLASS = 'VM class'
ROUTE = 'route'
TRY = 'try'

# The reason of a refusal may contain a time, which differs in each line.
_SECONDS = re.compile(r'\b\d+(\.\d+)?(?= s\b)')


@attrs.frozen
class Row:
    """What became of the openings of one group of a breakdown."""

    breakdown: str
    group: str
    opened: int
    moved: int
    refused: int
    dropped: int


@attrs.frozen
class Table:
    """Rows by breakdown, and refusals by reason, most frequent first.

    ``left_out`` is the number of lines that VMs did not write to bound the
    volume of their logs. The rows include them; their route, try and reason
    are unknown.
    """

    rows: tuple[Row, ...]
    refusals: collections.Counter[str]
    left_out: int


@attrs.frozen
class _Kind:
    """What one or more lines about openings have in common.

    ``destination`` is the service address, ``copy`` None if it is unknown.
    """

    event: str
    vm: str
    destination: str
    copy: bool | None


_Counts = collections.Counter[_Kind]

# The events about openings, in the order of the counts of a row.
_EVENTS = (
    'flow_opened',
    'opening_moved',
    'opening_refused',
    'opening_dropped',
)


class _Tabulation:
    """Counts lines; groups need all lines, as logs come in any order."""

    def __init__(self) -> None:
        self._counts: _Counts = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._left_out = 0
        self._domains: dict[str, str] = {}
        self._classes: dict[str, str] = {}
        self._routes: dict[str, str] = {}

    def add(self, event: explanations.Event) -> None:
        """Count an event, or note what it says of its VM."""
        if event.name == 'started':
            self._note_vm(event)
        elif event.name in _EVENTS:
            self._count_opening(event)

    def _note_vm(self, event: explanations.Event) -> None:
        match event.get('failure_domain'):
            case str(domain):
                self._domains[event.vm] = domain
        match event.get('link_mbps'):
            case (int() | float()) as rate if rate > 0:
                self._classes[event.vm] = f'{rate:g} Mbit/s'

    def _count_opening(self, event: explanations.Event) -> None:
        destination = _find_destination(event)
        copy = event.get('copy')
        kind = _Kind(
            event.name,
            event.vm,
            destination,
            copy > 0 if isinstance(copy, int) else None,
        )
        self._counts[kind] += 1
        match event.get('route'):
            case str(route) if destination != UNKNOWN:
                self._routes[destination] = route
        refused = event.name == 'opening_refused'
        if refused:
            self._refusals[find_reason(event)] += 1
        match event.get('left_out_before'):
            case bool():
                pass
            case int(left_out) if left_out > 0:
                kind = _Kind(event.name, event.vm, UNKNOWN, None)
                self._counts[kind] += left_out
                self._left_out += left_out
                if refused:
                    self._refusals[UNKNOWN] += left_out

    def build_table(self) -> Table:
        """Return the table of all events."""
        rows: list[Row] = []
        for breakdown, find_group in (
            (FAILURE_DOMAIN, self._find_domain),
            (VM_CLASS, self._find_class),
            (ROUTE, self._find_route),
            (TRY, _find_try),
        ):
            rows += _build_rows(breakdown, self._counts, find_group)
        refusals = collections.Counter(dict(self._refusals.most_common()))
        return Table(tuple(rows), refusals, self._left_out)

    def _find_domain(self, kind: _Kind) -> str:
        return self._domains.get(kind.vm, UNKNOWN)

    def _find_class(self, kind: _Kind) -> str:
        return self._classes.get(kind.vm, UNKNOWN)

    def _find_route(self, kind: _Kind) -> str:
        return self._routes.get(kind.destination, kind.destination)


def tabulate(events: typing.Iterable[explanations.Event]) -> Table:
    """Return the table of openings; events may come in any order.

    The route of an opening that was refused or dropped is not logged. It is
    the one that other lines name for the same destination, or else the
    destination itself.
    """
    tabulation = _Tabulation()
    for event in events:
        tabulation.add(event)
    return tabulation.build_table()


def _build_rows(
    breakdown: str,
    counts: _Counts,
    find_group: typing.Callable[[_Kind], str],
) -> list[Row]:
    groups: dict[str, collections.Counter[str]] = {}
    for kind, count in counts.items():
        group = groups.setdefault(find_group(kind), collections.Counter())
        group[kind.event] += count
    return [
        Row(breakdown, name, *(group[event] for event in _EVENTS))
        for name, group in sorted(groups.items())
    ]


def _find_try(kind: _Kind) -> str:
    match kind.copy:
        case True:
            return 'copy'
        case False:
            return 'first try'
    return UNKNOWN


def _find_destination(event: explanations.Event) -> str:
    """Return the service address of the flow ``CLIENT:PORT>SERVICE:PORT``."""
    _, _, destination = str(event.get('flow')).partition('>')
    return destination or UNKNOWN


def find_reason(event: explanations.Event) -> str:
    """Return why an opening was refused or dropped, without its times."""
    reason = event.get('reason')
    return _SECONDS.sub('N', reason) if isinstance(reason, str) else UNKNOWN
