"""Detects upstreams that answer with errors, by the length of answers.

Answers do not pass through a VM, but the client's acknowledgements show their
length. An error is much shorter than a usual answer of its route. An upstream
that fails some of its requests at once looks idle and would get more requests
than the others, so each short answer adds to its load.

    >>> lengths = AnswerLengths(answers=30, value=4_000.0)
    >>> lengths.is_short(3_000), lengths.is_short(210)
    (False, True)
"""

from _savoryhaven.model import averages

# Answers to one kind of request vary by half; errors are one line of text.
SHORT_ANSWER_RATIO = 0.4


class AnswerLengths(averages.RunningAverage):
    """The average length of the answers of a route, in bytes."""

    __slots__ = ()

    def record(self, answer_bytes: int) -> bool:
        """Add an answer; return whether it is short for its route."""
        short = self.is_short(answer_bytes)
        self.add(answer_bytes)
        return short

    def is_short(self, answer_bytes: int) -> bool:
        """Return whether an answer is much shorter than usual."""
        return self.known and answer_bytes < self.value * SHORT_ANSWER_RATIO
