"""Clients for backend servers, and the types that they use."""
