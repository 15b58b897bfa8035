"""Operations that run at most once, even if several proxies receive copies of the request.

The chain stores which proxy may run an operation; that proxy stores its response. This package is independent of HTTP
and sockets.
"""
