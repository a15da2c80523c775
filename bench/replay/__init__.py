"""Simulates a mix of requests against the real scheduler, in virtual time."""
