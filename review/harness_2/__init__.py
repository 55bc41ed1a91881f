"""Starts the project's programs on loopback for the cases of REPORT-2.md."""
