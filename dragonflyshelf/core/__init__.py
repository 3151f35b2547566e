"""Pure decisions: no input or output, no clock and no randomness."""
