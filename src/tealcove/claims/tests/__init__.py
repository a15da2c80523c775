"""Tests for claims."""
