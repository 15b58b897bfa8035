"""Soak tests: a mesh of real processes on loopback under signals, kills and changes by seed, judged from outside.

`python -m lilacsill.mesh.soak run --seed 7` plays one. What happened is recorded as typed observations
(`observations.py`), and `judge.py` finds the broken rules among them. Nothing here looks into the processes.
"""
