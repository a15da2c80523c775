"""What the system knows of backend servers and says to them."""
