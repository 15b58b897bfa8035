"""The client-side agent: receives HTTP/1.1 requests, selects a backend for each attempt and sends one response."""
