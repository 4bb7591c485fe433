"""Descriptions of days: what they hold, and what is wrong with them."""

import pathlib

from nose2.tools import params

from _savoryhaven import errors
from savoryhaven_standins.experiments import days
from savoryhaven_standins.users_platform import store

EXAMPLES = pathlib.Path(__file__).parents[3] / 'experiments'


def read_error(text: str) -> str:
    """Return what is said about a day that can not be played."""
    try:
        days.parse_day(text)
    except errors.SettingsError as exc:
        return str(exc)
    raise AssertionError(f'{text} was taken')


def test_every_example_can_be_read() -> None:
    found = list(EXAMPLES.glob('*.json'))
    assert found
    for path in found:
        assert days.read_day(path).faults


def test_faults_become_their_kinds() -> None:
    day = days.parse_day(
        '{"seconds": 5, "faults": ['
        '{"what": "spoil_store", "at_s": 1, "for_s": 2, "mode": "silent"},'
        '{"what": "kill_vm", "at_s": 1, "vm": "vm-1"}, // and again\n'
        ']}'
    )
    assert day.faults == (
        days.SpoilStore(at_s=1, for_s=2, mode=store.Mode.SILENT),
        days.KillVm(at_s=1, vm='vm-1'),
    )


@params(
    ('{', 'SH110'),
    ('{"seconds": -1}', 'seconds'),
    ('{"seconds": 5, "vms": 0}', 'vms'),
    ('{"seconds": 5, "colour": 1}', 'colour'),
    ('{"seconds": 5, "faults": [{"what": "rain", "at_s": 1}]}', 'kill_vm'),
    ('{"seconds": 5, "faults": [{"what": "kill_vm", "at_s": 1}]}', 'vm'),
)
def test_what_is_wrong_is_named(text: str, word: str) -> None:
    said = read_error(text)
    assert 'SH110' in said
    assert word in said, said


def test_a_missing_file_is_named() -> None:
    try:
        days.read_day(pathlib.Path('/nowhere/day.json'))
    except errors.SettingsError as exc:
        assert '/nowhere/day.json' in str(exc)
    else:
        raise AssertionError('it was read')
