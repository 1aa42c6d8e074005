"""Registry of function packs, their versions and aliases."""
