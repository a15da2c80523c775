"""Rollouts of a new version of a service, as ordered by an operator."""
