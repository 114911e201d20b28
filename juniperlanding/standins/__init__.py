"""Stand-ins for the parties that a dispatcher meets, for tests, `try` and the rigs; nothing in service
imports them."""
