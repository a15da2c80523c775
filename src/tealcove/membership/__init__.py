"""Heartbeats, lifecycle and ranking of instances."""
