"""Adapter for the headers, calls and objects of the users' platform."""
