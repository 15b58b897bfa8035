"""The replicated store of the configuration.

Core machines replicate along a chain: changes enter at its head, reads are answered at its tail. The chain's view, a
small list of members, is agreed on by a majority of the members of the view before.
"""
