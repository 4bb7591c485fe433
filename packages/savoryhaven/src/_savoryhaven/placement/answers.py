"""Recognises upstreams that answer with errors, by the length of answers.

An answer does not pass through a VM, but its client's acknowledgements tell
how long it was. An error is much shorter than what a route usually answers.
An upstream that fails a part of its requests at once looks idle, and would
get more work than the others; each short answer counts as work there instead.

    >>> lengths = AnswerLengths(answers=30, average_bytes=4_000.0)
    >>> lengths.is_short(3_000), lengths.is_short(210)
    (False, True)
"""

import attrs

# Answers until a route's usual length is known well enough to judge by.
LEARNING_ANSWERS = 20
# Share of a new answer in the average length: some thirty answers.
AVERAGE_SHARE = 0.03
# Answers to one kind of request vary by half; errors carry a line of text.
SHORT_SHARE = 0.4


@attrs.define(eq=False, repr=False)
class AnswerLengths:
    """How long the answers of a route are, on average."""

    answers: int = 0
    average_bytes: float = 0.0

    def record(self, answer_bytes: int) -> bool:
        """Note an answer; return whether it is short for its route."""
        short = self.is_short(answer_bytes)
        self.answers += 1
        share = max(AVERAGE_SHARE, 1.0 / self.answers)
        self.average_bytes += (answer_bytes - self.average_bytes) * share
        return short

    def is_short(self, answer_bytes: int) -> bool:
        """Return whether an answer is much shorter than usual."""
        if self.answers < LEARNING_ANSWERS:
            return False
        return answer_bytes < self.average_bytes * SHORT_SHARE
