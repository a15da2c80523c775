"""Declared resources, their API and their propagation."""
