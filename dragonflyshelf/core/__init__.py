"""Decision logic without input or output, clocks or randomness."""
