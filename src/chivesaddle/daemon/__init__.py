"""The chivesaddled daemon process."""
