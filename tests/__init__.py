"""Tests of whole deployments, as separate processes."""
