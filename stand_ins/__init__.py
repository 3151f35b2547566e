"""Small programs that stand in for outside systems."""
