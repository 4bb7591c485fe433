"""Chooses the upstream of each new flow, without network or clock access."""
