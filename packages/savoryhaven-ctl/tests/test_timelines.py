"""What a fleet did by windows of time, from the logs of its VMs."""

import json
import pathlib
import tempfile
import typing

from _savoryhaven_ctl import explanations
from _savoryhaven_ctl import timelines
from savoryhaven_standins import processes

START_S = 1_787_457_970.0


def make_line(
    name: str, after_s: float, vm: str = 'a1', **fields: typing.Any
) -> str:
    """Return a log line."""
    line = {'event': name, 'at': START_S + after_s, 'vm': vm, **fields}
    return json.dumps(line)


def summarize(*lines: str) -> list[timelines.Window]:
    """Return the windows of 2 s."""
    return timelines.summarize(explanations.iterate_events(lines), 2.0)


def test_events_are_counted_by_window_in_any_order() -> None:
    second, first = summarize(
        make_line('flow_opened', 2.1),
        make_line('opening_refused', 0.3, 'a2'),
        make_line('flow_opened', 0.1),
        make_line('flow_opened', 0.2),
    )[::-1]
    assert first.counts == {'flow_opened': 2, 'opening_refused': 1}
    assert first.count_vms() == 2
    assert second.counts == {'flow_opened': 1}
    assert second.list_notes() == [
        'no VM logged anything for 1.8 s before',
    ]


def test_lines_that_were_left_out_are_counted() -> None:
    (window,) = summarize(make_line('flow_opened', 0.0, left_out_before=160))
    assert window.counts['flow_opened'] == 161


def test_notes_tell_what_happened_to_vms_and_upstreams() -> None:
    (window,) = summarize(
        make_line('store_lost', 0.0, 'a1'),
        make_line('store_lost', 0.1, 'a2'),
        make_line('store_lost', 0.2, 'a2'),
        make_line('upstream_removed', 0.3, 'a1', upstream='u1', lapsed=False),
        make_line('upstream_removed', 0.3, 'a2', upstream='u1', lapsed=False),
        make_line('upstream_removed', 0.3, 'a2', upstream='u2', lapsed=True),
        make_line('upstream_added', 0.4, 'a1', upstream='u3'),
    )
    assert window.list_notes() == [
        '2 VMs lost the store',
        '1 upstream removed',
        '1 upstream removed after an outage of the store',
        '1 upstream added',
    ]


def test_upstreams_that_a_starting_vm_lists_are_not_new() -> None:
    (window,) = summarize(
        make_line('started', 0.0),
        make_line('upstream_added', 0.1, upstream='u1'),
    )
    assert window.list_notes() == ['1 VM started']


def test_a_stop_that_waits_is_noted() -> None:
    (window,) = summarize(
        make_line('stop_delayed', 0.0, other_vms=2, ready_vms=1)
    )
    assert window.list_notes() == ['1 VM delayed a planned stop']


def test_evacuations_are_noted_by_failure_domain() -> None:
    first, second = summarize(
        make_line('domain_evacuated', 0.1, 'a1', domain='b', upstreams=3),
        make_line('domain_evacuated', 0.2, 'a2', domain='b', upstreams=3),
        make_line('domain_evacuated', 0.2, 'a2', domain='c', upstreams=2),
        make_line('domain_restored', 2.0, 'a1', domain='b', upstreams=3),
        make_line('evacuation_kept', 2.1, 'a2', domain='c'),
    )
    assert first.list_notes() == [
        '2 VMs learned that failure domain b is evacuated',
        '1 VM learned that failure domain c is evacuated',
    ]
    assert second.list_notes() == [
        '1 VM kept a failure domain evacuated against the store',
        '1 VM learned that failure domain b is restored',
        'no VM logged anything for 1.8 s before',
    ]


def test_cold_upstreams_are_counted_once_for_all_vms() -> None:
    (window,) = summarize(
        make_line('upstream_cold', 0.0, 'a1', upstream='u1', why='started'),
        make_line('upstream_cold', 0.1, 'a2', upstream='u1', why='started'),
        make_line('upstream_cold', 0.1, 'a2', upstream='u2', why='restored'),
        make_line('upstream_warm', 0.2, 'a2', upstream='u3'),
    )
    assert window.list_notes() == ['2 upstreams cold', '1 upstream warm']


def test_a_silence_is_noted_where_it_ends() -> None:
    """Pattern: all VMs lose power and start again."""
    before, after = summarize(
        make_line('flow_opened', 1.9),
        make_line('started', 4.1, 'a1'),
        make_line('started', 4.2, 'a2'),
    )
    assert before.list_notes() == []
    assert after.list_notes() == [
        '2 VMs started',
        'no VM logged anything for 2.2 s before',
    ]


def test_the_command_reads_files_folders_and_standard_input() -> None:
    with tempfile.TemporaryDirectory() as folder:
        log = pathlib.Path(folder) / 'a1.log'
        log.write_text(make_line('started', 0.0))
        outputs = {
            processes.run_binary(
                'savoryhavenctl', 'timeline', str(log)
            ).stdout,
            processes.run_binary('savoryhavenctl', 'timeline', folder).stdout,
            processes.run_binary(
                'savoryhavenctl', 'timeline', lines=make_line('started', 0.0)
            ).stdout,
        }
    (output,) = outputs
    assert '1 VM started' in output
    assert '04:06:10.0' in output


def test_json_has_a_row_for_each_window() -> None:
    lines = '\n'.join(make_line('flow_opened', 0.4 * n) for n in range(10))
    result = processes.run_binary(
        'savoryhavenctl', 'timeline', '--json', '--window', '1', lines=lines
    )
    rows = json.loads(result.stdout)
    assert [row['opened'] for row in rows] == [3, 2, 3, 2]


def test_wrong_arguments_and_logs_without_events_are_errors() -> None:
    for words, code in (
        (('--window', '0'), 'SH511'),
        (('--window', 'two'), 'SH511'),
        ((), 'SH512'),
        (('/nowhere',), 'SH508'),
    ):
        result = processes.run_binary(
            'savoryhavenctl', 'timeline', *words, lines='no event'
        )
        assert result.returncode == 1, words
        assert code in result.stderr
