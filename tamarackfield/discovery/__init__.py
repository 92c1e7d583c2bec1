"""Readers of the platform's configuration service, and how bundles reach every process."""

from tamarackfield.discovery.configuration import ConfigurationClient, ConfigurationError
from tamarackfield.discovery.follower import BundleFollower

__all__ = ['BundleFollower', 'ConfigurationClient', 'ConfigurationError']
