"""Tests of HTTP/1.1 messages."""
