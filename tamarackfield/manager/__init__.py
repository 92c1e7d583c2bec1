"""Adapter manager of one engine: orders adapter loads and grants batch slots to the requests of entries."""
