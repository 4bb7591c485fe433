"""Owners track flows: for platforms whose packets carry no tag."""
