"""Callers: real CoAP clients that check the answers they receive."""

import asyncio
import contextlib
import time
import typing
import uuid

import aiocoap
import attrs

from savoryhaven_standins import upstream

REQUEST_TIMEOUT_S = 20.0
# Longer than it takes to detect a crashed VM and to retransmit the
# notification (RFC 7252: after 2 to 3 s at first, then doubled each time).
FEED_TIMEOUT_S = 15.0


@attrs.define
class Tally:
    """The results of the callers of one service."""

    requests: int = 0
    answered: int = 0
    # Answered with 5.03: the request must not run.
    refused: int = 0
    # Answered with 5.04: the request may have run.
    unknown: int = 0
    broken: int = 0
    refused_names: set[str] = attrs.field(factory=set)
    failures: list[str] = attrs.field(factory=list)

    def note_failure(self, what: str) -> None:
        """Count a broken flow, and record the reason."""
        self.broken += 1
        self.failures.append(f'{time.strftime("%H:%M:%S")} {what}')


@contextlib.asynccontextmanager
async def open_client() -> typing.AsyncIterator[aiocoap.Context]:
    """Open a client with its own socket, and therefore its own flow."""
    client = await aiocoap.Context.create_client_context(
        transports=['simple6']
    )
    try:
        yield client
    finally:
        await client.shutdown()


async def send_request(
    client: aiocoap.Context, message: aiocoap.Message
) -> aiocoap.Message:
    """Send a request and return the answer."""
    async with asyncio.timeout(REQUEST_TIMEOUT_S):
        return await client.request(message).response


async def submit(client: aiocoap.Context, service: str, tally: Tally) -> None:
    """Submit one application, and check that the answer belongs to it."""
    name = uuid.uuid4().hex
    tally.requests += 1
    message = aiocoap.Message(
        code=aiocoap.POST,
        uri=f'coap://{service}/apply',
        payload=name.encode(),
    )
    try:
        answer = await send_request(client, message)
    except (aiocoap.error.Error, TimeoutError) as exc:
        tally.note_failure(f'application: {exc!r}')
        return
    if answer.code is aiocoap.SERVICE_UNAVAILABLE:
        tally.refused += 1
        tally.refused_names.add(name)
    elif answer.code is aiocoap.GATEWAY_TIMEOUT:
        tally.unknown += 1
    elif answer.payload.decode().endswith(f' ran {name}'):
        tally.answered += 1
    else:
        tally.note_failure(f'application: answered {answer.payload!r}')


async def download(
    client: aiocoap.Context, service: str, tally: Tally
) -> None:
    """Download the large document, and check every byte."""
    tally.requests += 1
    message = aiocoap.Message(
        code=aiocoap.GET, uri=f'coap://{service}/download'
    )
    try:
        async with asyncio.timeout(4 * REQUEST_TIMEOUT_S):
            answer = await client.request(message).response
    except (aiocoap.error.Error, TimeoutError) as exc:
        tally.note_failure(f'download: {exc!r}')
        return
    if answer.code is aiocoap.SERVICE_UNAVAILABLE:
        tally.refused += 1
    elif answer.payload == upstream.make_download():
        tally.answered += 1
    else:
        size = len(answer.payload)
        tally.note_failure(f'download: {answer.code}, {size} bytes')


async def follow_feed(
    client: aiocoap.Context,
    service: str,
    tally: Tally,
    stopping: asyncio.Event,
) -> None:
    """Follow a feed, and check that it stays at its upstream."""
    tally.requests += 1
    message = aiocoap.Message(
        code=aiocoap.GET, uri=f'coap://{service}/feed', observe=0
    )
    request = client.request(message)
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            first = await request.response
    except (aiocoap.error.Error, TimeoutError) as exc:
        tally.note_failure(f'feed: {exc!r}')
        return
    if first.code is aiocoap.SERVICE_UNAVAILABLE:
        tally.refused += 1
        return
    if not first.code.is_successful():
        tally.note_failure(f'feed: answered {first.code}')
        return
    name = first.payload.split()[0]
    notifications = aiter(request.observation)
    while not stopping.is_set():
        try:
            async with asyncio.timeout(FEED_TIMEOUT_S):
                notification = await anext(notifications)
        except (aiocoap.error.Error, TimeoutError, StopAsyncIteration) as exc:
            tally.note_failure(f'feed: {exc!r}')
            return
        if notification.payload.split()[0] != name:
            tally.note_failure('feed: moved to another upstream')
            return
    request.observation.cancel()
    tally.answered += 1
