"""Positions in the store's history: its era, then its revision.

A store that comes back from an older copy gives revisions out again, and
counts its era up. Both in one number order all that the store ever said, so
that everything else compares positions as if revisions only rose. Where other
modules speak of a store revision, it is a position.

    >>> make_position(3, 216)
    3000000000216
    >>> get_era(3000000000216), get_revision(3000000000216)
    (3, 216)
"""

# A power of ten, so that people can read positions in logs.
REVISIONS_PER_ERA = 10**12
# Positions stay below 2**63, which peers of any build accept.
ERA_MAX = 10**6


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision; zero is the unknown era."""
    return era * REVISIONS_PER_ERA + revision


def get_era(position: int) -> int:
    """Return the era of a position."""
    return position // REVISIONS_PER_ERA


def get_revision(position: int) -> int:
    """Return the revision of a position, as the store counts it."""
    return position % REVISIONS_PER_ERA
