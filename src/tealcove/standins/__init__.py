"""Test stand-ins for the platform, model engines and plain services."""
