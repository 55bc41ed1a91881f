"""Benchmarks; ``python -m benchmarks [NAME ...]`` runs them."""
