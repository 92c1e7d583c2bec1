"""The sidecar of the direct edge: gives its target adapter orders and grants places in its batch."""
