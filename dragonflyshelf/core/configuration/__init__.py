"""What operators set, and the view made from it."""
