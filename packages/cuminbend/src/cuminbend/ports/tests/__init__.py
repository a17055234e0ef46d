"""Fakes of the ports that tests share."""
