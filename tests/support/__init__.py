"""What tests and features share: an in-process site, and fakes at the interfaces."""
