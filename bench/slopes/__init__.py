"""What each role costs by size, and what that comes to at the full size."""
