"""Load of this instance as fractions of what its machine has, and what follows."""
