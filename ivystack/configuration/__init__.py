"""Read, validate and apply the configuration of a proxy or of a simulated instance."""
