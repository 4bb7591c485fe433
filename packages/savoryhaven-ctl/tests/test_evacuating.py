"""Evacuating and restoring failure domains, with faults of the platform."""

import asyncio
import json
import os
import typing

from aiohttp import web
from nose2.tools import params

from _savoryhaven import errors
from _savoryhaven.tracking import document
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import schema
from _savoryhaven_ctl import evacuations
from savoryhaven_standins import fakes
from savoryhaven_standins import platform as platform_standin
from savoryhaven_standins import processes

HOST = '127.0.0.1'
KIND = 'evacuations'


def make_platform(
    wanted: document.Document | None = None,
) -> fakes.Platform:
    """Return a platform with a document whose domains are a, b and c."""
    shared = fakes.Platform()
    shared.store(schema.dump(wanted or fakes.make_document()))
    return shared


def make_evacuations(shared: fakes.Platform) -> evacuations.Evacuations:
    """Return an operator's access to evacuations."""
    client = fakes.MemoryPlatform(shared, 'operator')
    return evacuations.Evacuations(client, timeout_s=5.0)


def list_evacuated(shared: fakes.Platform) -> tuple[str, ...]:
    """Return the names of the objects on the platform."""
    return shared.list_names(KIND).names


async def expect_error(
    call: typing.Awaitable[evacuations.Change], code: str
) -> str:
    """Return the text of the error with a code that a call raises."""
    try:
        await call
    except errors.SavoryhavenError as exc:
        assert exc.code == code, exc
        return str(exc)
    raise AssertionError(f'expected {code}')


@params(0, 1, 3)
@fakes.run_virtually
async def test_a_domain_is_evacuated_and_restored(lost_answers: int) -> None:
    """Writes whose answers are lost are repeated."""
    shared = make_platform()
    shared.lost_answers = lost_answers
    found = await make_evacuations(shared).evacuate('a')
    assert found == evacuations.Change('a', changed=True)
    assert list_evacuated(shared) == ('a',)
    shared.lost_answers = lost_answers
    found = await make_evacuations(shared).restore('a')
    assert found == evacuations.Change('a', changed=True)
    assert list_evacuated(shared) == ()


@fakes.run_virtually
async def test_repeating_a_command_changes_nothing() -> None:
    shared = make_platform()
    operator = make_evacuations(shared)
    assert not (await operator.restore('a')).changed
    await operator.evacuate('a')
    assert not (await operator.evacuate('a')).changed
    assert list_evacuated(shared) == ('a',)


@fakes.run_virtually
async def test_the_error_for_an_unknown_domain_lists_all() -> None:
    """Guards against a misspelt name, which would evacuate nothing."""
    shared = make_platform()
    operator = make_evacuations(shared)
    for call in (operator.evacuate('x'), operator.restore('x')):
        text = await expect_error(call, 'SH513')
        assert 'a, b, c' in text
    assert list_evacuated(shared) == ()


@fakes.run_virtually
async def test_a_domain_that_left_the_document_can_be_restored() -> None:
    shared = make_platform()
    shared.put(KIND, 'old', {})
    assert (await make_evacuations(shared).restore('old')).changed
    assert list_evacuated(shared) == ()


@fakes.run_virtually
async def test_services_that_lose_their_last_upstream_are_named() -> None:
    shared = make_platform(fakes.make_document(upstreams=('a', 'a', 'c')))
    operator = make_evacuations(shared)
    assert (await operator.evacuate('a')).without_upstreams == ()
    found = await operator.evacuate('c')
    assert found.without_upstreams == ('team/one',)
    # A service that had no upstream before is not named again.
    found = await operator.evacuate('b')
    assert found.without_upstreams == ('other/two',)
    assert list_evacuated(shared) == ('a', 'b', 'c')


@fakes.run_virtually
async def test_leaving_upstreams_do_not_count_as_left() -> None:
    shared = make_platform(fakes.make_document(upstreams=('a', 'b')))
    shared.put_vm(
        platform.PlatformVm(
            vm_id='one-1',
            role='upstream',
            state='leaving',
            failure_domain='b',
            address='10.9.1.2:5683',
        )
    )
    found = await make_evacuations(shared).evacuate('a')
    assert found.without_upstreams == ('team/one',)


@fakes.run_virtually
async def test_without_a_document_no_domain_is_known() -> None:
    operator = make_evacuations(fakes.Platform())
    await expect_error(operator.evacuate('a'), 'SH501')


@fakes.run_virtually
async def test_an_outage_is_an_error_after_the_timeout() -> None:
    shared = make_platform()
    shared.outage = True
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await expect_error(make_evacuations(shared).evacuate('a'), 'SH301')
    assert 4.0 < loop.time() - began_at < 6.0


async def run_commands(
    *commands: tuple[str, ...],
) -> list[tuple[int, str, str]]:
    """Run commands on a real platform; return status and outputs."""
    standin = platform_standin.Platform()
    standin.objects['routing', 'document'] = platform_standin.StoredObject(
        1, schema.dump(fakes.make_document())
    )
    runner = web.AppRunner(standin.build_app(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    results = []
    try:
        for words in commands:
            done = await asyncio.to_thread(
                processes.run_binary,
                'savoryhavenctl',
                *words,
                '--platform',
                f'http://{HOST}:{port}',
            )
            results.append((done.returncode, done.stdout, done.stderr))
    finally:
        await runner.cleanup()
    return results


def test_the_commands_report_changes_warnings_and_errors() -> None:
    assert 'SAVORYHAVEN_PLATFORM' not in os.environ
    evacuated, again, unknown, restored = asyncio.run(
        run_commands(
            ('evacuate', 'b'),
            ('evacuate', 'b', '--json'),
            ('evacuate', 'nowhere'),
            ('restore', 'b'),
        )
    )
    status, output, warnings = evacuated
    assert (status, output.strip()) == (0, 'failure domain b is evacuated')
    assert 'other/two' in warnings
    assert json.loads(again[1]) == {
        'failure_domain': 'b',
        'evacuated': True,
        'changed': False,
        'without_upstreams': [],
    }
    assert unknown[0] == 1
    assert 'SH513' in unknown[2]
    assert 'a, b, c' in unknown[2]
    assert restored[:2] == (0, 'failure domain b is restored\n')
