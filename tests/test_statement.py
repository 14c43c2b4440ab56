"""The table group of a statement, with strings, comments and quoted names that look like tables."""

import pytest

from rackhub.statement import table_group


@pytest.mark.parametrize(
    "statement, group",
    [
        (b"SELECT * FROM sales_17.orders", 17),
        (b"select a from sales_17 . orders o where o.x_2 = 1", 17),
        (b"INSERT INTO rides_5.trips SELECT * FROM staging.batch_9", 5),
        (b"INSERT INTO staging.t_3 SELECT * FROM docks_6.u", 6),
        (b"UPDATE pay_8.t SET a = 'b_9.c'", 8),
        (b"SELECT 'x_1.y', 'it''s from z_2.y' FROM a_3.b", 3),
        (b"-- FROM x_1.y\nSELECT /* FROM x_2.y /* nested */ FROM x_5.y */ 1 FROM a_4.b", 4),
        (b'SELECT "x_1.y" FROM "sales_17"."orders"', 17),
        (b"SELECT [x_1.y] FROM [sales_17].[ord]]ers]", 17),
        (b"SELECT t_9.c FROM a_3.b AS t_9", 3),
        (b"SELECT * FROM plain JOIN a_12.b ON 1 = 1", 12),
        (b"SELECT * FROM plain, a_13.b", 13),
        (b"SELECT * FROM db_1.a_14.b", 14),
        (b"SELECT 1.5e_3", None),
        (b"SELECT 1", None),
        (b"", None),
        (b"SELECT * FROM staging.x", None),
        (b"SELECT 'never closed FROM a_3.b", None),
        (b"SELECT /* never closed FROM a_3.b", None),
        (b"\xff\x00.\xfe", None),
    ],
)
def test_table_group(statement, group):
    assert table_group(statement) == group
