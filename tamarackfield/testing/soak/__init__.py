"""Soak test of the direct edge: real processes, platform stand-ins and overlapping faults drawn from a seed."""
