"""Tests of the modules that belong to no subpackage."""
