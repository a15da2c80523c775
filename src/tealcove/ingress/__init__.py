"""Serves callers' requests by the declared routes, and answers each once."""
