"""The side of the application: the listener, downstream connections and the validation of requests."""
