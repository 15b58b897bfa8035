"""Shows that an old build and a new build work together and read each other's data (see `__main__`)."""
