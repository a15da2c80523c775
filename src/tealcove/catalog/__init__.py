"""What the operator and the backend servers declare, as it is in force here."""
