"""Virtual time: waiting is instant, and runs are reproducible."""

import asyncio
import selectors
import typing

EPOCH_MS = 1_800_000_000_000


class _InstantSelector(selectors.DefaultSelector):
    """Advances the time of the loop instead of waiting."""

    loop: 'VirtualLoop'

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait, and no timer is set')
        self.loop.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that skips waiting times."""

    def __init__(self) -> None:
        selector = _InstantSelector()
        selector.loop = self
        self.now = 1_000.0
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run_virtually(
    test: typing.Callable[..., typing.Awaitable[None]],
) -> typing.Callable[..., None]:
    """Turn an asynchronous test into one that nose2 can run."""

    def run(*arguments: typing.Any) -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(*arguments))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    run.__module__ = test.__module__
    if hasattr(test, 'paramList'):
        run.paramList = test.paramList
    return run


class LoopClock:
    """Reads the virtual time."""

    @property
    def now(self) -> float:
        """Return the time, like ``ManualClock.now``."""
        return self.read_monotonic()

    def read_monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def read_epoch_ms(self) -> int:
        return EPOCH_MS + int(self.read_monotonic() * 1000)
