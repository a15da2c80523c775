"""Tests of the front package."""
