"""Tests of the measuring programs."""
