"""Interfaces of the platform's services; implementations in memory and by rows."""
