"""Algorithms without balancing policy: deadline queue, decay, majority vote, quantile bands, rendezvous hashing."""
