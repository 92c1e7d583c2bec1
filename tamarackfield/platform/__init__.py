"""Adapter to the users' platform: its names and messages become the product's types here, and nowhere else."""
