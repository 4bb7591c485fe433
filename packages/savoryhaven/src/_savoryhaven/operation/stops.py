"""Decides when a VM that has to stop may leave the rotation.

Two VMs of a failure domain that stop one shortly after the other may leave too
few: the fabric then uses all of the domain, VMs that have stopped included.

    >>> may_leave(others=2, ready=1)
    False
"""

# The fabric uses the ready VMs of a failure domain, or all if fewer than this
# share of them are ready.
READY_SHARE_MIN = 0.5


def may_leave(*, others: int, ready: int) -> bool:
    """Return whether enough VMs of its failure domain stay without this one.

    ``ready`` of the ``others`` are ready. A VM that is alone in its failure
    domain has nobody to wait for.
    """
    return not others or ready >= READY_SHARE_MIN * (others + 1)
