/**
 * Scans all rows under a key prefix.
 */
import { Right } from 'purify-ts';

import type { Outcome } from '../errors/mod.ts';
import type { Row } from '../schema/mod.ts';
import type { Table } from '../table/mod.ts';

const pageSize = 500;

/**
 * Reads all rows under a key prefix, page by page. The rows are a consistent snapshot only if they
 * fit into one page.
 *
 * @example
 * const rows = await scanAll(table, 'members/');
 */
export async function scanAll(table: Table, prefix: string): Outcome<Row[]> {
  const rows: Row[] = [];
  for (;;) {
    const after = rows.at(-1)?.key;
    const page = await table.scan(prefix, { limit: pageSize, ...(after ? { after } : {}) });
    if (page.isLeft()) return page;
    const got = page.orDefault([]);
    rows.push(...got);
    if (got.length < pageSize) return Right(rows);
  }
}
