"""The queue of a cell and the choice of backend server."""
