"""Gateway of an entry, which is one gateway process of the platform.

It routes requests by host and path prefix and calls targets directly, with no sidecar proxy.
"""
