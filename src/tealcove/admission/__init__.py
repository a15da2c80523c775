"""Admission of requests under overload: early refusals and planned returns."""
