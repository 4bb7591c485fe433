"""Explanations of single requests, from the logs of VMs."""

import json
import pathlib
import tempfile
import typing

from _savoryhaven_ctl import explanations
from savoryhaven_standins import processes

FLOW = '100.65.0.13:1047>198.18.0.1:8080'
START_S = 1_787_457_970.0


def make_line(name: str, after_s: float, **fields: typing.Any) -> str:
    """Return a log line of the VM ``a1``."""
    line = {'event': name, 'at': START_S + after_s, 'vm': 'a1', **fields}
    return json.dumps(line)


def make_request(after_s: float = 0.0, **fields: typing.Any) -> str:
    """Return the line of a forwarded request."""
    named = {'request_id': 'c4', 'flow': FLOW, 'upstream': 'i-1'}
    return make_line('request_forwarded', after_s, **(named | fields))


def make_removal(after_s: float, **fields: typing.Any) -> str:
    """Return the line of an upstream's removal."""
    named = {'upstream': 'i-1', 'lapsed': False}
    return make_line('upstream_removed', after_s, **(named | fields))


def explain(*lines: str, about: str = 'c4') -> explanations.Explanation:
    """Return the explanation of a request or flow, from lines."""
    return explanations.explain(explanations.parse_events(lines), about)


def list_texts(explanation: explanations.Explanation) -> list[str]:
    """Return the texts of the conclusions."""
    return [conclusion.text for conclusion in explanation.conclusions]


def test_prefixes_of_log_collectors_are_ignored() -> None:
    noise = ['', 'no json', '{"at": 1}', '{broken', '[1]']
    lines = [f'  1.5 host-7 {make_request()}', *noise]
    (event,) = explanations.parse_events(lines)
    assert (event.name, event.vm, event.at) == (
        'request_forwarded',
        'a1',
        START_S,
    )


def test_an_explanation_begins_with_the_opening() -> None:
    opened = make_line('flow_opened', -0.02, flow=FLOW, upstream='i-1')
    explanation = explain(make_request(), opened)
    assert [event.name for event in explanation.events] == [
        'flow_opened',
        'request_forwarded',
    ]
    assert explanation.flows == (FLOW,)
    assert not explanation.conclusions


def test_a_later_flow_from_the_same_port_is_excluded() -> None:
    explanation = explain(make_request(), make_request(60.0, request_id='d5'))
    assert len(explanation.events) == 1


def test_a_prefix_of_a_flow_matches_but_not_of_a_request_id() -> None:
    assert explain(make_request(), about='100.65.0.13:').events
    assert not explain(make_request(), about='100.65.0.14:').events
    assert not explain(make_request(), about='c').events


def test_an_upstream_that_vanished_during_the_request_is_named() -> None:
    (text,) = list_texts(explain(make_request(), make_removal(3.4)))
    assert text.startswith('upstream i-1 vanished 3.4 s after')


def test_an_upstream_that_drained_has_left() -> None:
    drained = make_line('upstream_updated', 0.5, upstream='i-1', draining=True)
    (text,) = list_texts(explain(make_request(), drained, make_removal(3.0)))
    assert text.startswith('upstream i-1 left 3.0 s after')


def test_a_lapsed_entry_is_no_removal() -> None:
    assert not explain(
        make_request(), make_removal(3.4, lapsed=True)
    ).conclusions


def test_a_refusal_reports_that_nothing_has_run() -> None:
    for reason, word in (
        ('an answer is expected after 0.147 s', 'overload'),
        ('no such route', 'refused'),
    ):
        line = make_line('opening_refused', 0.0, flow=FLOW, reason=reason)
        (text,) = list_texts(explain(line, about=FLOW))
        assert word in text
        assert 'nothing has run' in text


def test_a_refusal_during_an_evacuation_names_the_domain() -> None:
    """The domain may have been evacuated long before the opening."""
    reason = 'all failure domains with its upstreams are evacuated for s1'
    texts = list_texts(
        explain(
            make_line('domain_evacuated', -900.0, domain='b', upstreams=3),
            make_line('domain_evacuated', -900.0, domain='c', upstreams=1),
            make_line('domain_restored', -300.0, domain='c', upstreams=1),
            make_line('opening_refused', 0.0, flow=FLOW, reason=reason),
            about=FLOW,
        )
    )
    assert texts == [
        f'evacuation: {reason}; nothing has run, and a retry is refused '
        'until the operator restores one of them',
        'a1 opened no flows at the upstreams (3) of failure domain b, which '
        'the operator had evacuated',
    ]


def test_evacuations_of_other_vms_are_left_out() -> None:
    elsewhere = make_line('domain_evacuated', -1.0, domain='b', vm='z9')
    assert not explain(make_request(), elsewhere).around


def test_a_restored_or_kept_evacuation_is_reported() -> None:
    texts = list_texts(
        explain(
            make_request(),
            make_line('domain_restored', 0.5, domain='b'),
            make_line('evacuation_kept', 1.0, domain='c'),
        )
    )
    assert texts == [
        'a1 learned that the operator had restored failure domain b',
        'a1 kept failure domain c evacuated, which the copy that the store '
        'came back from lacks',
    ]


def test_a_refusal_with_cold_upstreams_may_be_retried() -> None:
    reason = 'all upstreams are cold for s1'
    line = make_line('opening_refused', 0.0, flow=FLOW, reason=reason)
    (text,) = list_texts(explain(line, about=FLOW))
    assert text == (
        f'cold start: {reason}, and take only a few openings a second; '
        'nothing has run, the client may retry'
    )


def test_a_service_named_like_a_reason_changes_no_conclusion() -> None:
    reason = 'no upstream is known for cold-evacuated'
    line = make_line('opening_refused', 0.0, flow=FLOW, reason=reason)
    (text,) = list_texts(explain(line, about=FLOW))
    assert text == f'the opening was refused: {reason}; nothing has run'


def test_a_cold_upstream_of_the_request_is_reported_once() -> None:
    """Each VM logs it, and a fleet may have 200 of them."""
    explanation = explain(
        make_line('upstream_cold', -1.0, upstream='i-1', why='it started'),
        make_line('upstream_cold', -0.9, upstream='i-1', why='x', vm='a2'),
        make_line('upstream_cold', -1.0, upstream='i-2', why='it started'),
        make_request(),
        make_line('upstream_warm', 1.0, upstream='i-1'),
    )
    assert list_texts(explanation) == ['upstream i-1 was cold: it started']
    assert [event.name for event in explanation.around] == [
        'upstream_cold',
        'upstream_cold',
        'upstream_warm',
    ]


def test_problems_of_the_vm_are_reported() -> None:
    lost = make_line('store_lost', 0.5, code='SH301')
    paused = make_line('paused', 1.0, for_s=1.2)
    later = make_line('store_lost', 9.0, code='SH301')
    assert list_texts(explain(make_request(), lost, paused, later)) == [
        'a1 lost the store (SH301)',
        'a1 did not run for 1.2 s',
    ]


def test_the_number_of_dropped_lines_is_reported() -> None:
    (text,) = list_texts(explain(make_request(left_out_before=7)))
    assert text == '7 lines of request_forwarded were left out before'


def test_a_stop_that_waits_is_shown_with_the_flow() -> None:
    delayed = make_line('stop_delayed', 0.5, other_vms=2, ready_vms=1)
    explanation = explain(make_request(), delayed)
    assert [event.name for event in explanation.around] == ['stop_delayed']


def test_a_refusal_without_a_reason_is_explained() -> None:
    """The logs of a VM of another build may lack fields."""
    refused = make_line('opening_refused', 0.0, flow=FLOW)
    (text,) = list_texts(explain(refused, about=FLOW))
    assert 'no reason is logged' in text


def test_the_command_reads_files_and_standard_input() -> None:
    with tempfile.TemporaryDirectory() as folder:
        log = pathlib.Path(folder) / 'a1.log'
        log.write_text(make_request())
        named = processes.run_binary(
            'savoryhavenctl', 'explain', 'c4', str(log)
        )
    piped = processes.run_binary(
        'savoryhavenctl', 'explain', 'c4', '--json', lines=make_request()
    )
    assert named.returncode == piped.returncode == 0
    assert 'no VM logged a problem with it' in named.stdout
    assert json.loads(piped.stdout)['flows'] == [FLOW]


def test_missing_events_and_files_are_errors() -> None:
    unknown = processes.run_binary(
        'savoryhavenctl', 'explain', 'c4', lines=make_line('started', 0.0)
    )
    assert unknown.returncode == 1
    assert 'SH510' in unknown.stderr
    unreadable = processes.run_binary(
        'savoryhavenctl', 'explain', 'c4', '/nowhere'
    )
    assert unreadable.returncode == 1
    assert 'SH508' in unreadable.stderr


# Guards against a flow whose upstream is not the one that its opening was sent
# to last, which its log would not explain.
def test_a_flow_that_two_upstreams_may_have_answered_is_explained() -> None:
    texts = list_texts(
        explain(
            make_line('flow_opened', 0.0, flow=FLOW, upstream='i-1'),
            make_line('opening_moved', 0.2, flow=FLOW, upstream='i-2'),
            make_line('flow_placed', 0.21, flow=FLOW, upstream='i-1'),
            make_line('opening_ignored', 0.22, flow=FLOW, reason='it is open'),
            make_request(0.3),
        )
    )
    assert any('the flow is at i-1' in text for text in texts)
    assert any('was dropped: it is open' in text for text in texts)
