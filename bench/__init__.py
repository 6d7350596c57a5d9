"""The demo, and measurements that print tables and write plots."""
