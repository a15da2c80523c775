"""Declared resources, the resource API and the propagation of changes."""
