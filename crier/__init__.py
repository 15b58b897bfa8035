"""crier: the registry. It keeps the board of stalls (backends and the porters beside them), calls the news to porters,
and takes the outside calls for itself and for the store."""
