"""Operations that run once, whichever proxies receive their copies.

The chain keeps which proxy may run an operation; that proxy keeps its response. Nothing here knows HTTP or sockets.
"""
