"""Marks against requests that crash backend servers."""
