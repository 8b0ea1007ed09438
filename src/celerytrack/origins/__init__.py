"""Which software version began a stream, so that it goes on nowhere else."""
