import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { RowKey } from '../model/mod.ts';
import { acceptedJob, stepSpec } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeClaimedTerm, withDelayedWatch } from '../testing/fake_term.ts';
import { jobRow } from './rows.ts';

const test = suite('term');

function isProgress({ table }: RowKey): boolean {
  return table === 'progress';
}

async function waitFor<T>(check: () => T | undefined): Promise<T> {
  for (;;) {
    const result = check();
    if (result !== undefined) return result;
    await systemClock.sleep(2);
  }
}

test('a scheduler that has not loaded its jobs does not report that none are pending', async () => {
  const inner = makeFakeStore();
  await inner.transact({
    expected: [],
    writes: [{ ...jobRow('a1'), value: JSON.stringify(acceptedJob('a1', [stepSpec()])) }],
    deletes: [],
  });
  let open: (() => void) | undefined;
  const gate = new Promise<void>((resolve) => {
    open = resolve;
  });
  const store = {
    ...inner,
    async read(query: Parameters<typeof inner.read>[0]) {
      await gate;
      return inner.read(query);
    },
  };
  const term = await makeClaimedTerm(withDelayedWatch(store));
  const running = term.run();
  const pending = () => {
    const text = inner.getValue('leadership', 'heartbeat');
    return text === undefined ? undefined : (JSON.parse(text) as { pending?: unknown });
  };
  const early = (await waitFor(pending)).pending;
  open!();
  const loaded = await waitFor(() => pending()?.pending);
  term.stop();
  await running;
  assert.is(early, undefined);
  assert.equal(loaded, { batch: 1 });
});

// Guards against an accepted job that nobody knows after a takeover, as only its end was to be stored.
test('an ended job whose progress the store rejects keeps the row of its acceptance', async () => {
  const inner = makeFakeStore();
  const store = withDelayedWatch({
    ...inner,
    transact: async (change: Parameters<typeof inner.transact>[0]) =>
      change.writes.some((row) => isProgress(row) && row.key === 'a1')
        ? failWith<number>(ErrorKind.TableRejected, 'over a limit')
        : inner.transact(change),
  });
  const term = await makeClaimedTerm(store);
  const running = term.run();
  await waitFor(() => inner.getValue('leadership', 'heartbeat'));
  const submit = (id: string) => term.service.submit(acceptedJob(id, [stepSpec()]));
  while ((await submit('a1')) !== 'stored') await systemClock.sleep(2);
  assert.is(await term.service.cancel('a1'), false);
  assert.is(await submit('b2'), 'stored', 'other jobs are served');
  await term.service.cancel('b2');
  term.stop();
  await running;
  assert.is.not(inner.getValue('accepted', 'a1'), undefined);
  assert.is(inner.getValue('accepted', 'b2'), undefined);
});

test.run();
