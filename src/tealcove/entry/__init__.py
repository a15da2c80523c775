"""The caller's connection and the whole life of a request."""
