"""HTTP/1.1: messages and TCP connections, without any decision."""
