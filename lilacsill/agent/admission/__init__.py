"""Admission of downstream connections: the account of descriptors, the table of addresses and the policy. No I/O."""
