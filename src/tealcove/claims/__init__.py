"""Durable claims that keep non-idempotent work at most once."""
