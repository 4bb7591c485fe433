"""Running averages over the answers of a route.

>>> average = Average()
>>> for sample in (2.0, 4.0):
...     average.add(sample)
>>> average.value, average.known
(3.0, False)
"""

import attrs

# Answers until an average is known well enough to decide by.
LEARNING_ANSWERS = 20
# Share of a new answer in the average: some thirty answers.
AVERAGE_SHARE = 0.03


@attrs.define(eq=False, repr=False)
class Average:
    """The plain mean at first, then one in which old answers fade."""

    answers: int = 0
    value: float = 0.0

    def add(self, sample: float) -> None:
        """Take one more answer in."""
        self.answers += 1
        share = max(AVERAGE_SHARE, 1.0 / self.answers)
        self.value += (sample - self.value) * share

    @property
    def known(self) -> bool:
        """Return whether enough answers were seen to decide by."""
        return self.answers >= LEARNING_ANSWERS
