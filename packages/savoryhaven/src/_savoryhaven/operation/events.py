"""Structured events on standard output: bounded, and never blocking.

An event is one JSON object a line. Events go through a bounded queue, and
from there through loguru to standard output as fast as that takes them. Each
kind of event has a budget a second; what is left out is counted and said.

    >>> log = EventLog(clock, budget_per_s=100)
    >>> log.emit('upstream_removed', upstream='i-1', revision=7)
"""

import collections
import json
import os
import select
import typing

import attrs

from _savoryhaven.operation import counters as counters_module

if typing.TYPE_CHECKING:
    from _savoryhaven import hooks

# Lines of each event a second, and in all: at about 100 us a line, logs stay
# under a hundredth of a core.
EVENT_BUDGET_PER_S = 40
# Lines that wait for standard output.
QUEUE_LINES = 2_000
# A pipe that is ready takes so many bytes without blocking (PIPE_BUF).
WRITE_BYTES = 4_096
_STANDARD_OUTPUT = 1


@attrs.define(eq=False, repr=False)
class _Budget:
    """Lines of one event in the current second."""

    second: int = 0
    used: int = 0
    left_out: int = 0


@attrs.frozen(eq=False, repr=False)
class _Event:
    name: str
    epoch_s: float
    fields: dict[str, typing.Any]


class EventLog:
    """Takes events at any moment; ``flush`` writes them."""

    def __init__(
        self,
        clock: 'hooks.Clock',
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
        """Queue an event, or count it as left out."""
        epoch_s = self._clock.read_epoch_ms() / 1000
        budget = self._budgets.setdefault(name, _Budget())
        if budget.second != int(epoch_s):
            if budget.left_out:
                fields = {**fields, 'left_out_before': budget.left_out}
            budget.second = int(epoch_s)
            budget.used = 0
            budget.left_out = 0
        if budget.used >= self._budget_per_s or self._is_full():
            budget.left_out += 1
            self._counters[counters_module.Count.LOG_DROPPED] += 1
            return
        budget.used += 1
        self._queue.append(_Event(name, epoch_s, fields))

    def prepare(self) -> None:
        """Import the library that lines go through.

        It takes a small VM a quarter of a second, so a VM does it in a thread
        once it serves.
        """
        import loguru

        loguru.logger.remove()
        loguru.logger.add(self._take_line, format='{message}', level='INFO')
        self._logger = loguru.logger

    def flush(self) -> None:
        """Write what standard output takes without blocking."""
        if self._logger is None:
            self.prepare()
        while self._queue and len(self._unwritten) < WRITE_BYTES:
            event = self._queue.popleft()
            self._logger.bind(event=event).info(event.name)
        while self._unwritten and _is_writable():
            chunk = bytes(self._unwritten[:WRITE_BYTES])
            try:
                written = os.write(_STANDARD_OUTPUT, chunk)
            except OSError:
                # The reader is gone for good, and there is nowhere to say it.
                self._unwritten.clear()
                return
            del self._unwritten[:written]

    def _is_full(self) -> bool:
        return len(self._queue) >= QUEUE_LINES

    def _take_line(self, message: typing.Any) -> None:
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
    _, writable, _ = select.select([], [_STANDARD_OUTPUT], [], 0)
    return bool(writable)
