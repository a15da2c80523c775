"""Tests of the witness."""
