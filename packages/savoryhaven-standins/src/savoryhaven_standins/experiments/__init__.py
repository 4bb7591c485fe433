"""Experiments: described days, played on real VMs, and their reports."""
