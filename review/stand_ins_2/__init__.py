"""Stand-ins of the second review: engines, resolver, clients and the platform's part, by the operators' pages."""
