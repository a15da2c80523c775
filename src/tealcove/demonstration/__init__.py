"""What `tealcove demo` shows, in one process on loopback."""
