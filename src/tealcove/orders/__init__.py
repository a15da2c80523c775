"""Leases and the steward's orders to engines."""
