"""Bounds the memory that callers make this process use."""
