"""Interfaces to the platform's services and their clients."""
