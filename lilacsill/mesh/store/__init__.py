"""The replicated configuration store.

Core machines use chain replication: changes enter at the head of the chain, reads are answered by its tail. The view,
an ordered list of members, is agreed on by a majority of the members of the previous view.
"""
