"""The demo, fault-injection runs, and benchmarks that print tables and write plots."""
