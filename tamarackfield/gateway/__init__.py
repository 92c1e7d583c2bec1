"""Gateway of an entry: routes requests by host and path prefix and calls targets directly, with no sidecar proxy."""
