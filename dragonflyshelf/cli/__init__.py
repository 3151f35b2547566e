"""Command line of the program."""
