"""Benchmarks against real processes; see docs/MEASUREMENTS.md."""
