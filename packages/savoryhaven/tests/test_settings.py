"""Validation of settings: codes and paths of errors."""

import json
import typing

from nose2.tools import params

from _savoryhaven import errors
from _savoryhaven.tracking import settings

VALID: dict[str, typing.Any] = {
    'vm_id': 'a1',
    'failure_domain': 'a',
    'data_address': '10.0.0.1:6080',
    'peer_address': '10.0.0.1:7946',
    'operator_address': '10.0.0.1:8080',
    'fabric_address': '10.0.0.9:6080',
    'platform': {'url': 'http://10.0.0.8'},
}


def change(**changes: typing.Any) -> str:
    return json.dumps({**VALID, **changes})


INVALID = (
    ('', 'SH101', ''),
    ('{"vm_id": ', 'SH101', ''),
    ('{"a": 1, "a": 2}', 'SH101', ''),
    ('{}', 'SH102', '$'),
    (change(surprise=1), 'SH102', '$'),
    (change(vm_id=3), 'SH102', '$.vm_id'),
    (change(vm_id=''), 'SH102', '$.vm_id'),
    (change(limits={'flows': 0}), 'SH102', '$.limits.flows'),
    (change(limits={'flows': '9'}), 'SH102', '$.limits.flows'),
    (change(log={'level': 'LOUD'}), 'SH102', '$.log.level'),
    (change(stop={'timeout_s': 1e9}), 'SH102', '$.stop.timeout_s'),
    (change(platform={'url': 'ftp://x'}), 'SH102', '$.platform.url'),
    (change(data_address='10.0.0.999:1'), 'SH103', '$.data_address'),
    (change(seeds=['10.0.0.1:70000']), 'SH103', '$.seeds[0]'),
)


@params(*range(len(INVALID)))
def test_invalid_settings_get_their_code_and_path(at: int) -> None:
    text, code, path = INVALID[at]
    try:
        settings.parse_settings(text)
    except errors.SettingsError as exc:
        assert exc.code == code, exc
        assert exc.problems[0].path == path, exc
    else:
        raise AssertionError('the settings were accepted')


def test_an_error_names_the_allowed_range() -> None:
    try:
        settings.parse_settings(change(limits={'flows': 0}))
    except errors.SettingsError as exc:
        assert 'smallest value allowed is 1' in str(exc)
    else:
        raise AssertionError('the settings were accepted')


def test_comments_are_allowed() -> None:
    text = '// a VM\n' + json.dumps(VALID)[:-1] + ', /* none */ "seeds": []}'
    assert settings.parse_settings(text).vm_id == 'a1'


def test_every_key_is_described_with_unit_and_default() -> None:
    reference = settings.describe_settings()
    assert '| `limits.flows` | integer | 1 to 10000000 | 300000' in reference
    assert '`membership.suspicion_s`' in reference
