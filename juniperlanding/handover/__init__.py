"""How one process of a dispatcher takes over from another (docs/upgrade.md): who owns, and what is said."""
