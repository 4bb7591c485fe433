"""How a process is run and observed."""
