"""Tests of the orders package."""
