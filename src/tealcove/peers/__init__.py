"""Messages between instances over ZeroMQ."""
