"""Flow tracking by owner VMs, for platforms whose packets carry no tag."""
