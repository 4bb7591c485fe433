"""Recognises upstreams that answer with errors, by the length of answers.

An answer does not pass through a VM, but its client's acknowledgements tell
how long it was. An error is much shorter than what a route usually answers.
An upstream that fails a part of its requests at once looks idle, and would
get more work than the others; each short answer counts as work there instead.

    >>> lengths = AnswerLengths(answers=30, value=4_000.0)
    >>> lengths.is_short(3_000), lengths.is_short(210)
    (False, True)
"""

from _savoryhaven.placement import averages

# Answers to one kind of request vary by half; errors carry a line of text.
SHORT_SHARE = 0.4


class AnswerLengths(averages.Average):
    """How long the answers of a route are, on average, in bytes."""

    __slots__ = ()

    def record(self, answer_bytes: int) -> bool:
        """Note an answer; return whether it is short for its route."""
        short = self.is_short(answer_bytes)
        self.add(answer_bytes)
        return short

    def is_short(self, answer_bytes: int) -> bool:
        """Return whether an answer is much shorter than usual."""
        return self.known and answer_bytes < self.value * SHORT_SHARE
