"""The drill adapter: hosts decision modules behind the wire format of the bench."""
