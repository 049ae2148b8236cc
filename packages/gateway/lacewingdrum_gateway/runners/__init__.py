"""What is known of runners, and how it is found out."""
