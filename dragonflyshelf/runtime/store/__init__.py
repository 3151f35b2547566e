"""Tasks that read and write objects of the store."""
