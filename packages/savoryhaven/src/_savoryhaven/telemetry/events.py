"""Structured events on standard output, bounded and without blocking.

Each event is one line of JSON. Events go through a bounded queue and loguru
to standard output, as fast as it accepts them. Each event name has a budget
per second; events beyond it are dropped, and the next event of that name
reports how many.

    >>> log = EventLog(clock, budget_per_s=100)
    >>> log.emit('upstream_removed', upstream='i-1', revision=7)
"""

import collections
import json
import os
import select
import typing

import attrs

from _savoryhaven.telemetry import counters as counters_module

if typing.TYPE_CHECKING:
    from _savoryhaven import clock as clock_module

# For each event name. A line takes about 100 us, so this is less than a
# hundredth of a core.
EVENT_BUDGET_PER_S = 40
QUEUE_MAX_EVENTS = 2_000
# A writable pipe accepts this much without blocking (PIPE_BUF).
WRITE_BYTES = 4_096
_STDOUT_FD = 1


@attrs.define(eq=False, repr=False)
class _Budget:
    """Use of one event name's budget in the current second."""

    second: int = 0
    used: int = 0
    dropped: int = 0


@attrs.frozen(eq=False, repr=False)
class _Event:
    name: str
    epoch_s: float
    fields: dict[str, typing.Any]


class EventLog:
    """Queues events; ``flush`` writes them."""

    def __init__(
        self,
        clock: 'clock_module.Clock',
        counters: counters_module.Counters,
        *,
        common: typing.Mapping[str, typing.Any],
        budget_per_s: int = EVENT_BUDGET_PER_S,
    ) -> None:
        self._clock: typing.Final = clock
        self._counters: typing.Final = counters
        self._common: typing.Final = dict(common)
        self._budget_per_s: typing.Final = budget_per_s
        self._budgets: dict[str, _Budget] = {}
        self._queue: collections.deque[_Event] = collections.deque()
        self._unwritten = bytearray()
        self._logger: typing.Any = None

    def emit(self, name: str, **fields: typing.Any) -> None:
        """Queue an event, or count it as dropped."""
        epoch_s = self._clock.read_epoch_ms() / 1000
        budget = self._budgets.setdefault(name, _Budget())
        if budget.second != int(epoch_s):
            if budget.dropped:
                fields = {**fields, 'left_out_before': budget.dropped}
            budget.second = int(epoch_s)
            budget.used = 0
            budget.dropped = 0
        if budget.used >= self._budget_per_s or self._is_full():
            budget.dropped += 1
            self._counters[counters_module.Count.LOG_DROPPED] += 1
            return
        budget.used += 1
        self._queue.append(_Event(name, epoch_s, fields))

    def prepare(self) -> None:
        """Import and configure loguru.

        The import takes a quarter of a second on a small VM, which does it in
        a thread once it serves clients.
        """
        import loguru

        loguru.logger.remove()
        loguru.logger.add(self._buffer_line, format='{message}', level='INFO')
        self._logger = loguru.logger

    def flush(self) -> None:
        """Write as much as standard output accepts without blocking."""
        if self._logger is None:
            self.prepare()
        while self._queue and len(self._unwritten) < WRITE_BYTES:
            event = self._queue.popleft()
            self._logger.bind(event=event).info(event.name)
        while self._unwritten and _is_writable():
            chunk = bytes(self._unwritten[:WRITE_BYTES])
            try:
                written = os.write(_STDOUT_FD, chunk)
            except OSError:
                # The reader closed the pipe; there is nowhere to report it.
                self._unwritten.clear()
                return
            del self._unwritten[:written]

    def _is_full(self) -> bool:
        return len(self._queue) >= QUEUE_MAX_EVENTS

    def _buffer_line(self, message: typing.Any) -> None:
        event = message.record['extra'].get('event')
        if event is None:
            line = {'event': 'log', 'message': str(message).rstrip()}
        else:
            line = {'event': event.name, 'at': event.epoch_s}
            line.update(self._common)
            line.update(event.fields)
        text = json.dumps(line, separators=(',', ':'), default=str)
        self._unwritten += text.encode() + b'\n'


def _is_writable() -> bool:
    _, writable, _ = select.select([], [_STDOUT_FD], [], 0)
    return bool(writable)
