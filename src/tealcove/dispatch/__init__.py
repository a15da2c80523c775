"""Queueing of requests and choice of backend servers for each cell."""
