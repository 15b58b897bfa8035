"""Questions of a proxy to core machines go through another proxy while it cannot reach them itself. No I/O.

`RelayedLinks` takes the questions of quotas and operations. `CoreLinks` asks directly and notes which core machines
answer, `RelaySelector` chooses the other proxy, and `RelayServer` is that proxy's side.
"""
