"""The adapter for the simulator's wire: decodes into calls, encodes results, decides nothing."""
