"""Concurrent edits of the document, with lost answers of the platform."""

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
) -> editing.ApplyResult:
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
async def test_concurrent_edits_of_two_teams_both_apply(
    lost_answers: int,
) -> None:
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
async def test_one_of_two_concurrent_edits_of_a_section_conflicts(
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
async def test_an_outage_raises_an_error_after_the_timeout() -> None:
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
async def test_draining_an_upstream_changes_nothing_else() -> None:
    shared = make_platform()
    editor = make_editor(shared)
    await editor.set_draining('team', 'one', 'one-0', draining=True)
    stored = await editor.read()
    upstreams = stored.document.sections['team'].services['one'].upstreams
    assert [u.draining for u in upstreams.values()] == [True] + [False] * 3


@fakes.run_virtually
async def test_the_error_for_an_unknown_team_lists_all_teams() -> None:
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


async def add_upstream(
    shared: fakes.Platform, address: str
) -> editing.ApplyResult:
    """Add an upstream with an address to the service of the other team."""
    editor = make_editor(shared)
    section = (await editor.read()).document.sections['other']
    service = section.services['two']
    upstream = attrs.evolve(service.upstreams['two-0'], address=address)
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
async def test_another_service_can_reuse_an_address_only_after_a_delay(
    address: str, wait_s: float
) -> None:
    shared = make_platform()
    await remove_first_upstream(shared)
    await asyncio.sleep(wait_s)
    try:
        await add_upstream(shared, address)
    except errors.DocumentError as exc:
        assert exc.code == 'SH210', exc
    else:
        raise AssertionError('the address was reused too early')
    await asyncio.sleep(7_300.0 - wait_s)
    assert (await add_upstream(shared, address)).changed
    stored = await make_editor(shared).read()
    assert not stored.document.retired


@fakes.run_virtually
async def test_a_service_can_reuse_its_own_address_at_once() -> None:
    shared = make_platform()
    stored = await make_editor(shared).read()
    section = stored.document.sections['team']
    await remove_first_upstream(shared)
    back = attrs.evolve(section, changed_in=2)
    assert (await make_editor(shared).apply_section('team', back)).changed
    stored = await make_editor(shared).read()
    assert not stored.document.retired
