"""The entry: accepts callers' requests, routes each to a target and streams the answer back."""
