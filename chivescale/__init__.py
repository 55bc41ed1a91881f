"""Database proxy with session consistency and automatic failover."""

__version__ = "0.1.0"
