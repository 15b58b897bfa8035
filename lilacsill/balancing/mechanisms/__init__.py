"""Building blocks of decisions that decide nothing themselves: deadlines, decay, majority vote, bands, hashing."""
