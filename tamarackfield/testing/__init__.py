"""Stand-ins for the systems that tamarackfield depends on, and a test harness that runs real processes."""
