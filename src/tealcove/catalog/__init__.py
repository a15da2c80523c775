"""The operator's configuration and the backend servers, as in force here."""
