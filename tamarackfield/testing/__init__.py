"""Stand-ins for the systems that tamarackfield meets, and a harness of real processes."""
