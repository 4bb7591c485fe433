"""A VM's copy of routes, upstreams and peers, with the age of each part."""
