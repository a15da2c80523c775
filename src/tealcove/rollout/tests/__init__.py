"""Tests of the rollout slice."""
