"""What an earlier build stored, sent and decided, against the present build."""
