"""The command line of hosted mode."""
