"""Forwards the packets of a platform whose packets carry a tag."""
