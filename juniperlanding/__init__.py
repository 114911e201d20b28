"""juniperlanding: a relay that delivers notifications to destinations that it does not control."""

VERSION = "0.3.0"
