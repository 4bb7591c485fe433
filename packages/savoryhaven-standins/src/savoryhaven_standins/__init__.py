"""Stand-ins for the environment of savoryhaven, with injectable faults.

They are for tests and the demo. ``platform``, ``fabric`` and ``upstream`` run
as separate processes, e.g. ``python -m savoryhaven_standins.platform``.
"""
