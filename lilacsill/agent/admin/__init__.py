"""The admin API for operators. Imported only where an address is configured for it."""
