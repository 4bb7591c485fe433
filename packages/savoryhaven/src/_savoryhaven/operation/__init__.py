"""Running and monitoring a process."""
