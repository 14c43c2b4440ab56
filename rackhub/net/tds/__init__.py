"""TDS (MS-TDS 7.2 to 7.4): a codec that the front and the client of TDS engines share, and those two."""
