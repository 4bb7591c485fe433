"""Errors of invalid documents have the right code and path."""

import json
import typing

import hypothesis
from hypothesis import strategies
from nose2.tools import params

from _savoryhaven import errors
from _savoryhaven.tracking import checks
from _savoryhaven.tracking import document
from _savoryhaven.tracking import schema
from savoryhaven_standins import fakes


def dump() -> dict[str, typing.Any]:
    return schema.dump(fakes.make_document())


def change(path: str, value: typing.Any) -> str:
    """Return the JSON text of a document with one value replaced."""
    whole = dump()
    *parents, last = path.split('.')
    target = whole
    for parent in parents:
        target = target[parent]
    target[last] = value
    return json.dumps(whole)


ONE = 'sections.team.services.one'
INVALID = (
    ('', 'SH200', ''),
    ('   \n', 'SH200', ''),
    ('{\n  "generation": 1,\n  oops\n}', 'SH201', 'line 3, column 3'),
    ('{"teams": [], "teams": []}', 'SH201', ''),
    ('[]', 'SH202', '$'),
    (change('hash_seed', 'x'), 'SH202', '$.hash_seed'),
    (change('hash_seed', -1), 'SH202', '$.hash_seed'),
    (change('unknown', 1), 'SH202', '$'),
    (change(f'{ONE}.upstreams.one-0.slots', 0), 'SH202', 'one-0'),
    (change(f'{ONE}.upstreams.one-0.slots', 1.5), 'SH202', 'one-0'),
    (change(f'{ONE}.upstreams.one-0.slots', True), 'SH202', 'one-0'),
    (change('teams', ['other']), 'SH203', '$.sections.team'),
    (change('failure_domains', ['b']), 'SH204', 'one-0'),
    (change(f'{ONE}.address', fakes.TWO), 'SH205', 'two'),
    (
        change('sections.other.services.two.upstreams.two-0.address',
               '10.9.1.1:5683'),
        'SH206',
        'two-0',
    ),
    (change(f'{ONE}.address', '10.9.1.1:5683'), 'SH206', 'one-0'),
    (change(f'{ONE}.address', '300.0.0.1:1'), 'SH208', 'one'),
    (change(f'{ONE}.address', '1.2.3.4:0'), 'SH208', 'one'),
    (change('write_id', 'x' * 1_000_001), 'SH207', ''),
)  # fmt: skip


@params(*range(len(INVALID)))
def test_an_invalid_document_gets_its_code_and_path(at: int) -> None:
    text, code, expected_path = INVALID[at]
    try:
        checks.parse_document(text)
    except errors.DocumentError as exc:
        assert exc.code == code, exc
        assert expected_path in exc.problems[0].path, exc
    else:
        raise AssertionError('the document was accepted')


def test_all_problems_are_reported_at_once() -> None:
    text = change(f'{ONE}.upstreams.one-0.slots', 0)
    whole = json.loads(text)
    whole['hash_seed'] = -1
    try:
        checks.parse_document(json.dumps(whole))
    except errors.DocumentError as exc:
        assert len(exc.problems) == 2
    else:
        raise AssertionError('the document was accepted')


def test_a_valid_document_survives_the_round_trip() -> None:
    whole = fakes.make_document(generation=3)
    assert checks.parse_document(document.dump_document(whole)) == whole


@hypothesis.settings(max_examples=100, derandomize=True, database=None)
@hypothesis.given(
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.text(max_size=5),
        lambda children: (
            strategies.lists(children, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from(
                    ('sections', 'teams', 'services', 'address', 'x')
                ),
                children,
                max_size=3,
            )
        ),
        max_leaves=8,
    )
)
def test_random_json_gives_a_document_or_a_document_error(
    value: typing.Any,
) -> None:
    try:
        checks.parse_document(json.dumps(value))
    except errors.DocumentError:
        pass
