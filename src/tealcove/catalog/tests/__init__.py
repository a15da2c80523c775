"""Tests of the catalog slice."""
