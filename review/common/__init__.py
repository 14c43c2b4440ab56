"""Stand-ins for the tests of the review: clients, engines, the resolver and the platform that starts coordinators."""
