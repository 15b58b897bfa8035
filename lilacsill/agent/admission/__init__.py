"""Admission of downstream connections: descriptor accounting, the client address table and the policy. No I/O."""
