"""Logs, metrics, audit trail and operators' interface.

Modules are imported individually, so that a program loads only the libraries that it uses.
"""
