"""Tests of the front slice."""
