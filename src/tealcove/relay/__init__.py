"""Sends requests through other instances where this one has no path to a server."""
