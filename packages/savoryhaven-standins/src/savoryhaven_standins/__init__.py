"""Small stand-ins for what surrounds savoryhaven, with faults to switch on.

Each module runs as a process of its own: ``python -m
savoryhaven_standins.platform`` and so on. They are for tests and the demo.
"""
