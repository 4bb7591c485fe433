"""A stand-in of the users' platform on loopback sockets.

A store, hosts that serve flows, clients that open them, and routers that
spread packets over the VMs; each written from the published pages, without
the adapter's code.
"""
