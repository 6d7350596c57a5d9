"""Stand-ins for the systems around the daemons, for the demo, tests and benchmarks."""
