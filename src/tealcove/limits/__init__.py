"""Limits of client accounts across instances."""
