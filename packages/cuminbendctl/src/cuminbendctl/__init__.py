"""Operator command of the cuminbend query tier."""
