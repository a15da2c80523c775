"""Leases, and the orders that a pool's controller, the steward, sends to engines."""
