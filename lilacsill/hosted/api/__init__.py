"""The administration API, version 1: resources over HTTP, an OpenAPI document, a status page, metrics."""
