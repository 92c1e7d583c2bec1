"""The sidecar: the only process that gives its target orders or work."""
