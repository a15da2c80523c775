"""Plays a mix of requests against the dispatcher's decisions, in virtual time."""
