"""Accepts callers' requests and handles each until its answer is sent."""
