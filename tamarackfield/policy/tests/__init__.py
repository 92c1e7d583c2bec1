"""Tests of decision functions."""
