import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { acceptedJob, stepSpec } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { readJobRows } from './_job_rows.ts';
import { jobRow, jobsTable } from './rows.ts';

const test = suite('job rows');

test('the first job of a partition, stored while the partitions are read, is found by the watch', async () => {
  const inner = makeFakeStore();
  const put = (id: string) =>
    inner.transact({
      expected: [],
      writes: [{ ...jobRow(id), value: JSON.stringify(acceptedJob(id, [stepSpec()])) }],
      deletes: [],
    });
  await put('00000000000000a1');
  const store = {
    ...inner,
    async listParts(table: string) {
      const listed = await inner.listParts(table);
      await put('00000000000000a2');
      return listed;
    },
  };
  const view = (await readJobRows(store)).unsafeCoerce();
  const seen = view.rows.map(({ key }) => key);
  const later = [...inner.rows.values()]
    .filter(({ table, version }) => table === jobsTable && version > view.version)
    .map(({ key }) => key);
  assert.ok([...seen, ...later].includes('00000000000000a2'));
});

test.run();
