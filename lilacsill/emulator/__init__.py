"""Rehearse incidents on loopback: emulated job servers, discovery and clients, scripted faults, and a judge."""
