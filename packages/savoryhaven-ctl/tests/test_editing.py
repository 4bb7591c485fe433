"""Operators race each other, and the platform loses answers."""

import asyncio

import attrs
from nose2.tools import params

from _savoryhaven import errors
from _savoryhaven.tracking import document
from _savoryhaven.tracking import schema
from _savoryhaven_ctl import editing
from savoryhaven_standins import fakes


def make_editor(shared: fakes.Platform) -> editing.Editor:
    client = fakes.MemoryPlatform(shared, 'operator')
    return editing.Editor(client, fakes.LoopClock(), timeout_s=10.0)


def make_platform() -> fakes.Platform:
    shared = fakes.Platform()
    shared.store(schema.dump(fakes.make_document(generation=1)))
    return shared


async def change_slots(
    shared: fakes.Platform, team: str, slots: int
) -> editing.Applied:
    """Get a section, edit it, apply it, as an operator does."""
    editor = make_editor(shared)
    stored = await editor.read()
    section = stored.document.sections[team]
    (name, service), *_ = section.services.items()
    upstreams = {
        key: attrs.evolve(upstream, slots=slots)
        for key, upstream in service.upstreams.items()
    }
    services = {name: attrs.evolve(service, upstreams=upstreams)}
    await asyncio.sleep(0.1)
    return await editor.apply_section(
        team, attrs.evolve(section, services=services)
    )


async def read_slots(shared: fakes.Platform, team: str) -> set[int]:
    stored = await make_editor(shared).read()
    return {
        upstream.slots
        for service in stored.document.sections[team].services.values()
        for upstream in service.upstreams.values()
    }


@params(0, 1, 3)
@fakes.run_virtually
async def test_two_teams_that_race_both_win(lost_answers: int) -> None:
    shared = make_platform()
    shared.lost_answers = lost_answers
    await asyncio.gather(
        change_slots(shared, 'team', 7), change_slots(shared, 'other', 8)
    )
    assert await read_slots(shared, 'team') == {7}
    assert await read_slots(shared, 'other') == {8}
    stored = await make_editor(shared).read()
    assert stored.document.generation == 3


@params(0, 1, 2)
@fakes.run_virtually
async def test_of_two_operators_on_one_section_one_is_told(
    lost_answers: int,
) -> None:
    shared = make_platform()
    shared.lost_answers = lost_answers
    results = await asyncio.gather(
        change_slots(shared, 'team', 7),
        change_slots(shared, 'team', 8),
        return_exceptions=True,
    )
    failed = [r for r in results if isinstance(r, errors.ConflictError)]
    assert len(failed) == 1, results
    assert failed[0].code == 'SH502'
    assert 'stored:' in str(failed[0])
    assert 'yours:' in str(failed[0])
    stored = await make_editor(shared).read()
    assert stored.document.generation == 2


@fakes.run_virtually
async def test_applying_the_same_again_changes_nothing() -> None:
    shared = make_platform()
    first = await change_slots(shared, 'team', 7)
    second = await change_slots(shared, 'team', 7)
    assert first.changed
    assert not second.changed


@fakes.run_virtually
async def test_an_outage_ends_with_an_error_in_time() -> None:
    shared = make_platform()
    shared.outage = True
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        await make_editor(shared).apply_section(
            'team', document.Section(services={})
        )
    except errors.PlatformError as exc:
        assert exc.code == 'SH301'
    else:
        raise AssertionError('applied during an outage')
    assert loop.time() - started_at < 11.0


@fakes.run_virtually
async def test_draining_an_upstream_touches_nothing_else() -> None:
    shared = make_platform()
    editor = make_editor(shared)
    await editor.set_draining('team', 'one', 'one-0', draining=True)
    stored = await editor.read()
    upstreams = stored.document.sections['team'].services['one'].upstreams
    assert [u.draining for u in upstreams.values()] == [True] + [False] * 3


@fakes.run_virtually
async def test_a_section_of_an_unknown_team_is_refused_by_name() -> None:
    shared = make_platform()
    try:
        await make_editor(shared).apply_section(
            'nobody', document.Section(changed_in=1, services={})
        )
    except errors.OperatorError as exc:
        assert exc.code == 'SH509'
        assert 'team, other' in str(exc)
    else:
        raise AssertionError('the section was accepted')


async def move_upstream(
    shared: fakes.Platform, endpoint: str
) -> editing.Applied:
    """Give the service of the other team an upstream address."""
    editor = make_editor(shared)
    section = (await editor.read()).document.sections['other']
    service = section.services['two']
    upstream = attrs.evolve(service.upstreams['two-0'], address=endpoint)
    upstreams = {**service.upstreams, 'two-9': upstream}
    services = {'two': attrs.evolve(service, upstreams=upstreams)}
    return await editor.apply_section(
        'other', attrs.evolve(section, services=services)
    )


async def remove_first_upstream(shared: fakes.Platform) -> None:
    editor = make_editor(shared)
    section = (await editor.read()).document.sections['team']
    service = section.services['one']
    upstreams = dict(service.upstreams)
    del upstreams['one-0']
    services = {'one': attrs.evolve(service, upstreams=upstreams)}
    await editor.apply_section(
        'team', attrs.evolve(section, services=services)
    )


@params(('10.9.1.1:5683', 0.0), ('10.9.1.1:5683', 7_100.0))
@fakes.run_virtually
async def test_an_address_rests_before_another_service_gets_it(
    endpoint: str, wait_s: float
) -> None:
    shared = make_platform()
    await remove_first_upstream(shared)
    await asyncio.sleep(wait_s)
    try:
        await move_upstream(shared, endpoint)
    except errors.DocumentError as exc:
        assert exc.code == 'SH210', exc
    else:
        raise AssertionError('the address was given away at once')
    await asyncio.sleep(7_300.0 - wait_s)
    assert (await move_upstream(shared, endpoint)).changed
    stored = await make_editor(shared).read()
    assert not stored.document.retired


@fakes.run_virtually
async def test_a_service_may_take_its_own_address_back() -> None:
    shared = make_platform()
    stored = await make_editor(shared).read()
    section = stored.document.sections['team']
    await remove_first_upstream(shared)
    back = attrs.evolve(section, changed_in=2)
    assert (await make_editor(shared).apply_section('team', back)).changed
    stored = await make_editor(shared).read()
    assert not stored.document.retired
