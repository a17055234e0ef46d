"""Generated messages between instances; regenerate with ``make proto``."""
