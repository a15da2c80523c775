"""Durable claims, by which non-idempotent requests run at most once."""
