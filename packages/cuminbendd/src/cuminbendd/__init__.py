"""Daemon of the cuminbend query tier: one instance."""
