"""Billing: recording bills at the platform, with copies at peers meanwhile."""
