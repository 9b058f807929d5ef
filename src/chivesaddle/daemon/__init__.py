"""The chivesaddled process."""
