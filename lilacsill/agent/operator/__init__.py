"""The operator file: its sections, their checks and its reader."""
