"""Configuration: parsing the line-based format, checking it, and what a reload may change."""
