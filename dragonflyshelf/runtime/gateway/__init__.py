"""Tasks of one instance, and the code that connects them."""
