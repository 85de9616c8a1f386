import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { acceptedJob, stepSpec } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeClaimedTerm, withDelayedWatch } from '../testing/fake_term.ts';
import { jobRow } from './rows.ts';

const test = suite('term');

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

test.run();
