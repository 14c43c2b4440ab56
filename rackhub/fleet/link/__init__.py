"""Datagrams between gateways: frames, paged messages, rate limits and the UDP socket. See docs/design/fleet.md."""
