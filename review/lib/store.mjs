/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it: conditional atomic
 * transactions, ranges, partitions, a feed with a limited history, and the limits of a call and a row.
 */
/* eslint-disable import-x/extensions -- esbuild bundles these modules under their full names */
/* eslint-disable no-await-in-loop -- each step waits for the one before on purpose */
/* eslint-disable import-x/prefer-default-export -- the house style has named exports only */
import { serve, sleep } from './http.mjs';

const maxEntries = 100;
const maxCallBytes = 1_000_000;
const maxPageRows = 500;
const historyMs = 20_000;
/** Tables that only the operator and the workers write. */
const foreignTables = new Set(['op', 'servers']);

const nameOf = ({ table, part, key }) => `${table}\n${part}\n${key}`;
const sizeOf = (value) => Buffer.from(value, 'base64').length;
const compareKeys = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

/** Starts the store; `onRefused` hears of each call that it refuses, with the reason. */
export async function startStore({ ip, rowBytes, transactionMs, onRefused }) {
  const rows = new Map();
  const tails = new Map();
  const changes = [];
  let version = 1;
  let oldestVersion = 0;
  let watchers = [];

  const respond = (body) => ({
    status: 200,
    body: { ...body, row_version: version, now_ms: Math.round(performance.now()) },
  });

  function refuse(status, reason, row) {
    onRefused({ status, reason, row });
    return { status, body: { error: reason } };
  }

  function apply(writes, deletes) {
    version += 1;
    const atMs = performance.now();
    writes.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, row_version: version };
      rows.set(nameOf(row), row);
      changes.push({ row, atMs });
    });
    deletes.forEach(({ table, part = '', key }) => {
      const row = { table, part, key, row_version: version, deleted: true };
      rows.delete(nameOf(row));
      changes.push({ row, atMs });
    });
    while (changes.length > 0 && changes[0].atMs < atMs - historyMs) {
      oldestVersion = changes[0].row.row_version;
      changes.shift();
    }
    const woken = watchers;
    watchers = [];
    woken.forEach((wake) => wake());
  }

  /** Runs the transactions of a partition one after the other. */
  function inTurn(part, work) {
    const turn = (tails.get(part) ?? Promise.resolve()).then(() => sleep(transactionMs)).then(work);
    tails.set(
      part,
      turn.catch(() => undefined),
    );
    return turn;
  }

  function findLimit({ expected, writes, deletes }, bytes) {
    const entries = [...expected, ...writes, ...deletes];
    if (entries.length > maxEntries) return { reason: 'over 100 entries' };
    if (bytes > maxCallBytes) return { reason: 'over 1 MB' };
    if (new Set(entries.map(({ part = '' }) => part)).size > 1) return { reason: 'several parts' };
    const large = writes.find(({ value }) => sizeOf(value) > rowBytes);
    if (!large) return undefined;
    return {
      reason: `a row of ${sizeOf(large.value)} bytes, over row_bytes ${rowBytes}`,
      row: `${large.table}/${large.key}`,
    };
  }

  async function transact({ body, bytes }) {
    const { expected_revision: expected = [], writes = [], deletes = [] } = body;
    if ([...writes, ...deletes].some(({ table }) => foreignTables.has(table))) {
      return refuse(403, 'a table of others');
    }
    const limit = findLimit({ expected, writes, deletes }, bytes);
    if (limit) return refuse(400, limit.reason, limit.row);
    const part = [...expected, ...writes, ...deletes][0]?.part ?? '';
    return inTurn(part, () => {
      const current = expected.map((row) => ({
        row,
        found: rows.get(nameOf({ part: '', ...row })),
      }));
      if (current.some(({ row, found }) => (found?.row_version ?? 0) !== row.row_version)) {
        const found = current.flatMap((each) => each.found ?? []);
        return { status: 412, body: { rows: found, row_version: version } };
      }
      apply(writes, deletes);
      return respond({});
    });
  }

  function read({ query }) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(maxPageRows, Number(query.get('limit') ?? maxPageRows));
    const matching = [...rows.values()]
      .filter(
        ({ table, part }) => table === query.get('table') && part === (query.get('part') ?? ''),
      )
      .filter((row) => compareKeys(row, { key: from }) >= 0)
      .filter((row) => to === null || compareKeys(row, { key: to }) < 0)
      .sort(compareKeys);
    const page = [];
    let bytes = 0;
    matching.every((row) => {
      if (page.length === limit || bytes + row.value.length > maxCallBytes) return false;
      page.push(row);
      bytes += row.value.length;
      return true;
    });
    return respond({ rows: page, has_more: page.length < matching.length });
  }

  function listParts({ query }) {
    const after = query.get('after') ?? '';
    const parts = [...rows.values()]
      .filter(({ table }) => table === query.get('table'))
      .map(({ part }) => part);
    return respond({
      parts: [...new Set(parts)].filter((part) => after === '' || part > after).sort(),
      has_more: false,
    });
  }

  function waitForChange(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      watchers.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  async function feed({ query }) {
    const after = Number(query.get('after'));
    const endMs = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    for (;;) {
      if (after < oldestVersion) return { status: 410 };
      const changed = changes
        .filter(({ row }) => row.table === query.get('table') && row.row_version > after)
        .map(({ row }) => row);
      const leftMs = endMs - performance.now();
      if (changed.length > 0 || leftMs <= 0) return respond({ rows: changed });
      await waitForChange(leftMs);
    }
  }

  const server = await serve(ip, (request) => {
    if (request.path === '/v1/rows-tx') return transact(request);
    if (request.path === '/v1/rows-get') return read(request);
    if (request.path === '/v1/rows-parts') return listParts(request);
    if (request.path === '/v1/rows-feed') return feed(request);
    return { status: 404 };
  });

  return {
    ...server,
    /** Writes a row in the partition `''`, as the operator and the workers do. */
    put(table, key, value) {
      apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []);
    },
    remove(table, key) {
      apply([], [{ table, key }]);
    },
  };
}
