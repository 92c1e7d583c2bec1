"""Logs, metrics, the audit trail and the operators' interface.

Each module is imported by its own name, so that a program loads only the libraries that it uses.
"""
