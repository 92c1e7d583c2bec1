"""Readers of the platform's configuration service, and how bundles reach every process."""

from tamarackfield.discovery.configuration import ConfigurationClient, ConfigurationError
from tamarackfield.discovery.follower import BundleFollower
from tamarackfield.discovery.instances import InstanceReader, Sighting

__all__ = ['BundleFollower', 'ConfigurationClient', 'ConfigurationError', 'InstanceReader', 'Sighting']
