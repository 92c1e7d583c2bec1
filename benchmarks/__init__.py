"""Benchmarks on real processes; each prints JSON."""
