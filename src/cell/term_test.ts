import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { silentLog } from '../logs/mod.ts';
import type { Workers } from '../model/mod.ts';
import { acceptedJob, configuration, stepSpec } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { jobRow, sequenceRow } from './rows.ts';
import { makeTerm } from './term.ts';

const test = suite('term');

async function until<T>(check: () => T | undefined): Promise<T> {
  for (;;) {
    const result = check();
    if (result !== undefined) return result;
    await systemClock.sleep(2);
  }
}

test('a scheduler that has not loaded the jobs does not say that none wait', async () => {
  const inner = makeFakeStore();
  await inner.transact({
    expected: [],
    writes: [{ ...jobRow('a1'), value: JSON.stringify(acceptedJob('a1', [stepSpec()])) }],
    deletes: [],
  });
  const claimed = await inner.transact({
    expected: [],
    writes: [{ ...sequenceRow, value: '1.a.0' }],
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
    async watch(...args: Parameters<typeof inner.watch>) {
      await systemClock.sleep(5);
      return inner.watch(...args);
    },
  };
  const term = makeTerm({
    store,
    workers: {} as Workers,
    clock: systemClock,
    log: silentLog,
    advicePool: { take: () => undefined, ask: async () => undefined },
    registryTable: 'servers',
    decodeWorker: () => undefined,
    wishes: () => ({
      configuration: configuration(),
      evacuated: new Set<string>(),
      currentAtMs: systemClock.now(),
    }),
    claim: {
      epoch: 1,
      instance: 'a',
      sequence: { version: claimed.orDefault(0), value: '1.a.0' },
    },
    predecessorMayAct: false,
    maxLeaseMs: 6_000,
    onLost: () => undefined,
  });
  const running = term.run();
  const pending = () => {
    const text = inner.value('leadership', 'heartbeat');
    return text === undefined ? undefined : (JSON.parse(text) as { pending?: unknown });
  };
  const early = (await until(pending)).pending;
  open!();
  const loaded = await until(() => pending()?.pending);
  term.stop();
  await running;
  assert.is(early, undefined);
  assert.equal(loaded, { batch: 1 });
});

test.run();
