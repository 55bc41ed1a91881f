"""Measured slopes of the system and the calculation of larger sizes."""
