"""What endpoints say of themselves in their answers: a limit, leaving, a backoff."""
