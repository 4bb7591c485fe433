"""Experiments: scenarios, called days, that run on real VMs."""
