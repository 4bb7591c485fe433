"""What became of openings, from the logs of a fleet's VMs."""

import json
import typing

from _savoryhaven_ctl import explanations
from _savoryhaven_ctl import opening_loads
from savoryhaven_standins import processes

START_S = 1_787_457_970.0
SCREENS = '100.65.0.11:1059>198.18.0.1:8443'
FORMS = '100.65.0.12:1060>198.18.0.1:8080'
UNROUTED = '100.65.0.12:1061>198.18.0.9:1'


def make_line(name: str, vm: str = 'a1', **fields: typing.Any) -> str:
    """Return a log line."""
    line = {'event': name, 'at': START_S, 'vm': vm, **fields}
    return json.dumps(line)


def make_opening(
    name: str, flow: str, vm: str = 'a1', copy: int = 0, **fields: typing.Any
) -> str:
    """Return the line of a decision about an opening."""
    return make_line(name, vm, flow=flow, copy=copy, **fields)


def tabulate(*lines: str) -> opening_loads.Table:
    """Return the table of log lines."""
    return opening_loads.tabulate(explanations.iterate_events(lines))


def list_counts(
    table: opening_loads.Table, breakdown: str
) -> dict[str, tuple[int, ...]]:
    """Return opened, moved, refused and dropped by group of a breakdown."""
    return {
        row.group: (row.opened, row.moved, row.refused, row.dropped)
        for row in table.rows
        if row.breakdown == breakdown
    }


LINES = (
    make_opening('flow_opened', SCREENS, 'a1', route='screens'),
    make_opening('flow_opened', SCREENS, 'b1', copy=1, route='screens'),
    make_opening('opening_moved', FORMS, 'a1', copy=1, route='forms'),
    make_opening('opening_refused', SCREENS, 'b1', reason='no such route'),
    make_opening('opening_dropped', UNROUTED, 'c1', reason='no route'),
    # Logs are given in any order, so a VM may start after its openings.
    make_line('started', 'a1', failure_domain='a', link_mbps=100.0),
    make_line('started', 'b1', failure_domain='b', link_mbps=5.0),
)


def test_openings_are_counted_by_the_failure_domain_of_the_vm() -> None:
    assert list_counts(tabulate(*LINES), 'failure domain') == {
        'a': (1, 1, 0, 0),
        'b': (1, 0, 1, 0),
        'unknown': (0, 0, 0, 1),
    }


def test_refused_openings_count_for_the_route_of_their_destination() -> None:
    """Lines of refusals and drops name the flow only."""
    assert list_counts(tabulate(*LINES), 'route') == {
        '198.18.0.9:1': (0, 0, 0, 1),
        'forms': (0, 1, 0, 0),
        'screens': (2, 0, 1, 0),
    }


def test_first_tries_are_told_from_copies() -> None:
    assert list_counts(tabulate(*LINES), 'try') == {
        'copy': (1, 1, 0, 0),
        'first try': (1, 0, 1, 1),
    }


def test_the_class_of_a_vm_is_the_rate_of_its_link() -> None:
    assert list_counts(tabulate(*LINES), 'VM class') == {
        '100 Mbit/s': (1, 1, 0, 0),
        '5 Mbit/s': (1, 0, 1, 0),
        'unknown': (0, 0, 0, 1),
    }


def test_refusals_of_one_kind_are_one_row_whatever_their_numbers() -> None:
    evacuated = 'all failure domains with its upstreams are evacuated for s1'
    table = tabulate(
        *(
            make_opening('opening_refused', SCREENS, reason=reason)
            for reason in (
                'an answer is expected after 0.147 s',
                'an answer is expected after 12 s',
                evacuated,
            )
        ),
        make_opening('opening_refused', SCREENS),
        make_opening('opening_dropped', SCREENS, reason='no route is known'),
    )
    assert table.refusals == {
        'an answer is expected after N s': 2,
        evacuated: 1,
        'unknown': 1,
    }


def test_lines_that_were_left_out_count_only_where_they_are_known() -> None:
    """They are of the VM that says so, but of any route or reason."""
    table = tabulate(
        make_opening(
            'opening_refused', SCREENS, reason='no', left_out_before=160
        ),
        make_line('started', failure_domain='a'),
    )
    assert list_counts(table, 'failure domain') == {'a': (0, 0, 161, 0)}
    assert list_counts(table, 'route') == {
        '198.18.0.1:8443': (0, 0, 1, 0),
        'unknown': (0, 0, 160, 0),
    }
    assert list_counts(table, 'try') == {
        'first try': (0, 0, 1, 0),
        'unknown': (0, 0, 160, 0),
    }
    assert table.refusals == {'no': 1, 'unknown': 160}
    assert table.left_out == 160


def test_fields_of_other_types_are_taken_as_unknown() -> None:
    """The logs of a VM of another build may lack or change fields."""
    table = tabulate(
        make_line('flow_opened', flow=7, copy='1', route=['x']),
        make_line('started', failure_domain=None, link_mbps='fast'),
        make_line('flow_opened', 'a2', left_out_before=True),
    )
    for breakdown in ('failure domain', 'route', 'try', 'VM class'):
        assert list_counts(table, breakdown) == {'unknown': (2, 0, 0, 0)}


def test_the_command_prints_both_tables() -> None:
    result = processes.run_binary(
        'savoryhavenctl', 'loads', lines='\n'.join(LINES)
    )
    assert result.returncode == 0, result.stderr
    for text in ('screens', 'first try', '5 Mbit/s', 'no such route'):
        assert text in result.stdout


def test_json_has_rows_and_refusals() -> None:
    result = processes.run_binary(
        'savoryhavenctl', 'loads', '--json', lines='\n'.join(LINES)
    )
    found = json.loads(result.stdout)
    assert {
        'breakdown': 'route',
        'group': 'screens',
        'opened': 2,
        'moved': 0,
        'refused': 1,
        'dropped': 0,
    } in found['rows']
    assert found['refusals'] == {'no such route': 1}
    assert found['left_out'] == 0


def test_logs_without_openings_and_unreadable_ones_are_errors() -> None:
    for words, code in (((), 'SH512'), (('/nowhere',), 'SH508')):
        result = processes.run_binary(
            'savoryhavenctl', 'loads', *words, lines=make_line('started')
        )
        assert result.returncode == 1, words
        assert code in result.stderr
