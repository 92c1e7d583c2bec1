"""Measurements on real processes; each prints JSON."""
