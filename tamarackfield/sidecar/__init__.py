"""Sidecar: the only process that sends orders and requests to its target."""
