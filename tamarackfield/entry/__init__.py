"""The entry: takes callers' requests in, chooses targets, streams answers back."""
