"""Finds workers: where their list is read from, and which of its entries are believed."""
