"""Counts and histograms per member."""
