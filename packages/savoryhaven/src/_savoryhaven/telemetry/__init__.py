"""Events, counters and metrics of a process."""
