"""The drill adapter: the decision module on the bench's wire."""
