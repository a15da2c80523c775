"""Tests of the measured load and the decisions by it."""
