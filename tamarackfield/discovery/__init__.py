"""Discovery: clients of the platform's configuration service and instance list, and distribution of bundles."""

from tamarackfield.discovery.configuration import ConfigurationClient, ConfigurationError
from tamarackfield.discovery.follower import BundleFollower
from tamarackfield.discovery.instances import InstanceReader, ObservedTarget

__all__ = ['BundleFollower', 'ConfigurationClient', 'ConfigurationError', 'InstanceReader', 'ObservedTarget']
