"""A simulation of the users' platform on loopback sockets.

It has a store, hosts that serve flows, clients that open them, and routers
that distribute packets over the VMs. All are written from the published
pages and share no code with the adapter.
"""
