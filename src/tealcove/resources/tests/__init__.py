"""Tests of the resources package."""
