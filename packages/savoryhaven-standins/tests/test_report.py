"""Tests of the reports of days."""

from savoryhaven_standins.experiments import days
from savoryhaven_standins.experiments import play
from savoryhaven_standins.experiments import report

Ending = play.Ending


def make_result() -> play.Result:
    """Return the result of a day of ten seconds."""
    result = play.Result(days.Day(seconds=10.0))
    for number in range(100):
        ending = Ending.LATE if number % 10 == 0 else Ending.SERVED
        latency_s = 0.001 * (number + 1)
        result.requests.append(
            play.Request(number / 10, 'desk', ending, latency_s)
        )
    result.requests.append(play.Request(1.0, 'vault', Ending.REFUSED, 0.002))
    result.samples.append(play.Sample(0.0, {'i-1': 1}))
    result.samples.append(play.Sample(0.2, {'i-1': 2, 'i-2': 3}))
    result.spans.append(play.Span('vm-1 <killed>', 2.0, 3.0))
    return result


def test_table_counts_requests_by_outcome() -> None:
    desk, vault = report.build_rows(make_result())
    cells = dict(zip(report.HEAD, desk, strict=True))
    assert (cells['requests'], cells['served'], cells['late']) == (
        '100',
        '90',
        '10',
    )
    assert cells['median'].endswith(' ms')
    cells = dict(zip(report.HEAD, vault, strict=True))
    assert (cells['refused at once'], cells['median']) == ('1', '-')


def test_page_is_self_contained_and_escaped() -> None:
    page = report.build_page(make_result(), 'a & b')
    assert page.count('<svg') == 2
    assert '<title>a &amp; b</title>' in page
    assert 'vm-1 &lt;killed&gt;' in page
    assert ' src=' not in page
    assert 'link rel' not in page


def test_day_without_requests_has_a_report() -> None:
    assert '<svg' in report.build_page(
        play.Result(days.Day(seconds=1.0)), 'empty'
    )
