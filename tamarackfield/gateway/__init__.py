"""The direct edge of an entry: routes by host and prefix, and calls targets without a sidecar in the path."""
