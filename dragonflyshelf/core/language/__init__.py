"""Operator language: queries and commands."""
