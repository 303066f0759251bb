"""Kernel and shared types of the godwitrack load balancer."""
