"""Settings of a VM that balances by tags."""

import json
import pathlib
import subprocess
import sys
import tempfile
import typing

from nose2.tools import params

from _savoryhaven import errors
from _savoryhaven.operation import settings as settings_module

GOOD: dict[str, typing.Any] = {
    'vm_id': 'v-1',
    'failure_domain': 'a',
    'flow_place': 'tag',
    'data_address': '10.0.0.1:8172',
    'operator_address': '10.0.0.1:9464',
    'readiness': {'address': '10.0.0.1:8167', 'path': '/ready'},
    'peers': {'port': 7720, 'seeds': ['10.0.0.2:8166']},
    'store': {'address': '10.0.0.9:8169'},
    'plugins': ['savoryhaven_platform'],
}


def get_error(value: typing.Any) -> errors.SettingsError:
    """Return the error of settings that can't be used."""
    source = value if isinstance(value, str) else json.dumps(value)
    try:
        settings_module.parse_settings(source)
    except errors.SettingsError as exc:
        return exc
    raise AssertionError('invalid settings were accepted')


def test_settings_with_comments_are_read() -> None:
    source = '// filled in\n' + json.dumps(GOOD)[:-1] + ',}'
    loaded = settings_module.parse_settings(source)
    assert loaded.peers.seeds == ('10.0.0.2:8166',)
    assert loaded.stop.grace_s == 6.0
    assert loaded.link_mbps == 0.0
    loaded = settings_module.parse_settings(
        json.dumps(GOOD | {'link_mbps': 10})
    )
    assert loaded.link_mbps == 10


def test_settings_without_comments_do_not_import_json5() -> None:
    code = (
        'import sys\n'
        'from _savoryhaven.operation import settings\n'
        f'settings.parse_settings({json.dumps(GOOD)!r})\n'
        'print("json5" in sys.modules)\n'
    )
    completed = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True
    )
    assert completed.stdout == b'False\n'


@params('{"a": 1, "a": 2}', '{"a": 1, "a": 2,}')
def test_a_duplicate_key_is_rejected(source: str) -> None:
    error = get_error(source)
    assert error.code == 'SH101'
    assert 'a' in str(error)


@params(
    ('', 'SH101', ''),
    ('{', 'SH101', ''),
    ('[]', 'SH102', ''),
    (GOOD | {'vm_id': 3}, 'SH102', '$.vm_id'),
    (GOOD | {'vm_id': ''}, 'SH102', '$'),
    (GOOD | {'vmid': 'x'}, 'SH102', '$.vmid'),
    (GOOD | {'data_address': 'here'}, 'SH102', '$'),
    (GOOD | {'stop': {'grace_s': 0}}, 'SH102', '$.stop'),
    (GOOD | {'peers': {'port': 70_000}}, 'SH102', '$.peers'),
    (GOOD | {'peers': 7}, 'SH102', '$.peers'),
    (GOOD | {'plugins': 'one'}, 'SH102', '$.plugins'),
)
def test_an_error_has_a_code_and_a_path(
    value: typing.Any, code: str, path: str
) -> None:
    problem = get_error(value).problems[0]
    assert problem.code == code
    assert problem.path == path


def test_the_error_names_a_missing_key() -> None:
    value = {key: item for key, item in GOOD.items() if key != 'store'}
    assert 'store' in str(get_error(value))


def test_the_flow_place_is_read_by_itself() -> None:
    parse = settings_module.parse_flow_place
    assert parse('{"flow_place": "tag"}') == settings_module.TagPlace()
    assert parse('{"vm_id": "b1"}') == settings_module.OwnerPlace()
    try:
        parse('{"flow_place": "elsewhere"}')
    except errors.SettingsError as exc:
        assert exc.code == 'SH102'
    else:
        raise AssertionError('an invalid flow place was accepted')


def check_file(text: str) -> tuple[int, str]:
    """Return the exit status and output of ``savoryhaven check-settings``."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(text)
        completed = subprocess.run(
            [sys.executable, '-m', 'savoryhaven', 'check-settings', str(path)],
            capture_output=True,
            text=True,
        )
    return completed.returncode, completed.stdout + completed.stderr


def test_the_command_checks_settings_of_either_design() -> None:
    assert check_file(json.dumps(GOOD))[0] == 0
    status, text = check_file(json.dumps(GOOD | {'peers': {'port': 0}}))
    assert status == 2
    assert 'SH102 at $.peers' in text
    status, text = check_file('{"vm_id": "b1"}')
    assert status == 2
    assert 'data_address' in text


def test_optional_features_are_off_without_their_sections() -> None:
    loaded = settings_module.parse_settings(json.dumps(GOOD))
    assert not loaded.evacuation and not loaded.uneven_upstreams
    assert loaded.cold_start is None


def test_sections_switch_features_on() -> None:
    sections = {
        'evacuation': True,
        'cold_start': {'overshoot': 2, 'slack': 3},
        'uneven_upstreams': True,
    }
    loaded = settings_module.parse_settings(json.dumps(GOOD | sections))
    assert loaded.evacuation
    assert loaded.cold_start == settings_module.ColdStartSettings(
        overshoot=2.0, slack=3.0
    )
    assert loaded.uneven_upstreams


@params(
    ({'evacuation': 1}, '$.evacuation'),
    ({'cold_start': {'slack': -1}}, '$.cold_start'),
    ({'cold_start': {'rate': 1}}, '$.cold_start.rate'),
    ({'uneven_upstreams': 'yes'}, '$.uneven_upstreams'),
)
def test_invalid_features_are_rejected_with_their_path(
    change: dict[str, typing.Any], path: str
) -> None:
    assert path in str(get_error(GOOD | change))
