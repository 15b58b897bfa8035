"""The admin API for operators, imported only if its address is configured."""
