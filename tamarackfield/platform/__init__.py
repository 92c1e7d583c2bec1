"""Adapter to the users' platform: the only package that converts its names and messages to the product's types."""
