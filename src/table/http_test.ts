import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { startTable } from '../standins/mod.ts';
import { tableDialects } from './mod.ts';

const write = (n: number) => ({
  ...{ operation: `o${n}`, checks: [{ key: 'a', version: 0 }] },
  ...{ writes: [{ key: 'a', value: n }], reads: ['a', 'b'] },
});

test('a transaction that may have committed is not reported as certainly not run', async () => {
  const clock = systemClock;
  const standin = await startTable({ clock });
  const { address, port } = standin;
  const table = tableDialects['http-json']({ address, port, clock, timeoutMs: 100 });
  const kind = async (n: number) => ((await table.transact(write(n))).extract() as Failure).kind;
  standin.faults.lose = 1;
  assert.is(await kind(1), ErrorKind.TableUnknown);
  const conflict = (await table.transact(write(2))).extract() as Failure;
  assert.equal([conflict.kind, conflict.got], [ErrorKind.TableConflict, ['a']]);
  standin.faults.slowMs = 200;
  assert.is(await kind(3), ErrorKind.TableUnknown);
  Object.assign(standin.faults, { slowMs: 0, fail: true });
  assert.is(await kind(4), ErrorKind.TableUnknown);
  standin.faults.fail = false;
  await standin.refuseConnections(true);
  // A request sent on a closed connection before the close is noticed has an unknown outcome. The
  // read notices the close first.
  assert.ok((await table.read(['a'])).isLeft());
  assert.is(await kind(5), ErrorKind.TableUnavailable);
  await standin.refuseConnections(false);
  const rows = (await table.read(['a', 'b'])).unsafeCoerce();
  assert.equal(
    rows.map(({ key, value }) => [key, value]),
    [
      ['a', 1],
      ['b', undefined],
    ],
  );
  await table.close();
  await standin.close();
});

test.run();
