"""Serves callers' requests by the declared routes; each gets one response."""
