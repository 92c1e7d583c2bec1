"""Settings that the platform provides to a process.

The platform writes all of its fields to ``deploy/settings.json``, so this settings file is JSON.
"""

#: Port on which both programs serve their metrics; deploy/system.toml states the same port.
METRICS_PORT = 9464
