"""Tests of the modules that belong to no slice."""
