"""TDS (MS-TDS 7.2 to 7.4): the front for TDS clients, the client of TDS engines, and the codec that both use."""
