"""The query and command language."""
