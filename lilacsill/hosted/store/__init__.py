"""The state of the service: resources by revision, and the log of every change."""
