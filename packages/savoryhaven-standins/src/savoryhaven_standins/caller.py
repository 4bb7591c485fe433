"""Callers: real CoAP clients that check the answers they receive."""

import asyncio
import contextlib
import time
import typing
import uuid

import aiocoap
import attrs

from savoryhaven_standins import upstream

# Of a request, and of each block of a download. A download has no limit as a
# whole: on a busy machine its thousand blocks, each after the one before,
# take minutes.
REQUEST_TIMEOUT_S = 20.0
# Blocks of 1,024 bytes (RFC 7959).
BLOCK_SIZE_EXPONENT = 6
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
    received = bytearray()
    try:
        code = await _receive_blocks(client, service, received)
    except (aiocoap.error.Error, TimeoutError) as exc:
        tally.note_failure(f'download: {exc!r} after {len(received)} bytes')
        return
    if code is aiocoap.SERVICE_UNAVAILABLE:
        tally.refused += 1
    elif received == upstream.make_download():
        tally.answered += 1
    else:
        tally.note_failure(f'download: {code}, {len(received)} bytes')


async def _receive_blocks(
    client: aiocoap.Context, service: str, received: bytearray
) -> aiocoap.Code:
    """Append the document block by block; return the last answer's code."""
    number = 0
    while True:
        message = aiocoap.Message(
            code=aiocoap.GET, uri=f'coap://{service}/download'
        )
        message.opt.block2 = (number, False, BLOCK_SIZE_EXPONENT)
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            request = client.request(message, handle_blockwise=False)
            answer = await request.response
        if answer.code is not aiocoap.CONTENT:
            return answer.code
        received += answer.payload
        block = answer.opt.block2
        if block is None or not block.more:
            return answer.code
        number += 1


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
