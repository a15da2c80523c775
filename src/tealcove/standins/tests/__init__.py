"""Tests of the standins slice."""
