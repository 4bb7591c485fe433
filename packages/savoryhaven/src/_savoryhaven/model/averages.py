"""Running averages over the answers of a route.

>>> average = RunningAverage()
>>> for sample in (2.0, 4.0):
...     average.add(sample)
>>> average.value, average.known
(3.0, False)
"""

import attrs

# Answers before an average is used in decisions.
MIN_ANSWERS = 20
# Weight of a new answer: the average spans about thirty answers.
SAMPLE_WEIGHT = 0.03


@attrs.define(eq=False, repr=False)
class RunningAverage:
    """The arithmetic mean at first, then an exponential moving average."""

    answers: int = 0
    value: float = 0.0

    def add(self, sample: float) -> None:
        """Add the value of one answer."""
        self.answers += 1
        share = max(SAMPLE_WEIGHT, 1.0 / self.answers)
        self.value += (sample - self.value) * share

    @property
    def known(self) -> bool:
        """Return whether there are enough answers to use the average."""
        return self.answers >= MIN_ANSWERS
