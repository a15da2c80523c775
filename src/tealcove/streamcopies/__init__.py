"""Copies of running streams, from which a second server goes on after a crash."""
