import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Store } from '../model/mod.ts';
import { configuration } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeOperatorStateSource } from './operator_state.ts';
import type { OperatorStateMessage } from './operator_state.ts';

const test = suite('operator state');

/** A source on a store that stops responding on demand, with one peer whose view a test sets. */
function setUp() {
  const clock = makeVirtualClock();
  const inner = makeFakeStore();
  const stopped = new AbortController();
  const view = { isDown: false, message: undefined as OperatorStateMessage | undefined };
  const fail = () => failWith(ErrorKind.TableUnavailable, 'the store is down');
  const store: Store = {
    ...inner,
    read: async (query) => (view.isDown ? fail() : inner.read(query)),
    async watch() {
      await clock.sleep(300);
      return view.isDown ? fail() : inner.read({ table: 'op', part: '' });
    },
  };
  const source = makeOperatorStateSource({
    store,
    clock,
    log: silentLogger,
    table: 'op',
    configurationKey: 'config',
    decodeConfiguration: (text) => ({
      ...configuration(),
      version: (JSON.parse(text) as { version: number }).version,
    }),
    parseEvacuatedDataCentre: (key) => /^evacuate\/(.*)$/.exec(key)?.[1],
    fetchFromPeers: async () => view.message,
  });
  const running = source.run(stopped.signal);
  return {
    clock,
    view,
    source,
    write: (key: string, value: string) =>
      inner.transact({
        expected: [],
        writes: [{ table: 'op', part: '', key, value }],
        deletes: [],
      }),
    async stop() {
      stopped.abort();
      await clock.advance(2_000);
      await running;
    },
  };
}

function makeMessage(fields: Partial<OperatorStateMessage>): OperatorStateMessage {
  return { ageMs: 0, configuration: '{"version":1}', version: 1, evacuated: [], ...fields };
}

test('an evacuation is not lifted by a process whose view is older', async () => {
  const { clock, view, source, write, stop } = setUp();
  await write('config', '{"version":1}');
  await write('evacuate/north', '{}');
  await clock.advance(1_000);
  view.isDown = true;
  view.message = makeMessage({ ageMs: 60_000 });
  await clock.advance(3_000);
  assert.equal([...source.current()!.evacuated], ['north']);
  const ageMs = clock.now() - source.current()!.currentAtMs;
  assert.ok(ageMs > 2_000, 'the own view does not count as current because of the older one');
  view.message = makeMessage({ ageMs: 100 });
  await clock.advance(500);
  assert.equal([...source.current()!.evacuated], [], 'a more recent view holds');
  await stop();
});

test('a configuration of a process with an older view, or a malformed row, does not replace the own', async () => {
  const { clock, view, source, write, stop } = setUp();
  await write('config', '{"version":3}');
  await clock.advance(1_000);
  await write('config', '{');
  await clock.advance(1_000);
  assert.is(source.current()!.configuration.version, 3);
  view.isDown = true;
  view.message = makeMessage({ version: 2, configuration: '{"version":2}', ageMs: 5 });
  await clock.advance(3_000);
  assert.is(source.current()!.configuration.version, 3);
  await stop();
});

test.run();
