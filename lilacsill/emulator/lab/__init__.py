"""The lab: a decision module among modelled servers in virtual time, with scripts of what goes wrong."""
