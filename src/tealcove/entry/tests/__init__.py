"""Tests of entry."""
