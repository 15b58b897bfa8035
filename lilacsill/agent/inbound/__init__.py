"""The application's side: the listener, downstream connections and the validation of requests."""
