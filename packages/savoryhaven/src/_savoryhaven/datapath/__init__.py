"""What happens to each packet of a platform whose packets carry a tag."""
