"""Records that the layers of a VM share."""
