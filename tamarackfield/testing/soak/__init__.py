"""Soak of the direct edge: real programs, stand-ins of the platform, overlapping faults from a seed."""
