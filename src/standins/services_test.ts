import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { Kind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { hostDialects } from '../hosts/mod.ts';
import { objectDialects } from '../objects/mod.ts';
import { startHosts, startObjects } from './mod.ts';

const clock = systemClock;

test('a missing object that looks like a failure, or the reverse, would lose a result', async () => {
  const { faults, close, address, port } = await startObjects({ clock });
  const objects = objectDialects.http({ address, port, clock });
  const name = 'results/j1 2';
  assert.is((await objects.get(name)).unsafeCoerce(), undefined);
  await objects.put(name, new Uint8Array([1, 2, 255]));
  assert.equal([...((await objects.get(name)).unsafeCoerce() ?? [])], [1, 2, 255]);
  faults.fail = true;
  assert.is(((await objects.get(name)).extract() as Failure).kind, Kind.ObjectUnavailable);
  faults.fail = false;
  await objects.remove(name);
  assert.is((await objects.get(name)).unsafeCoerce(), undefined);
  await Promise.all([objects.close(), close()]);
});

test('a host list that fails would be read as a list without hosts', async () => {
  const hosts = [{ address: '127.0.0.9', state: 'leaving' as const }];
  const { faults, close, address, port } = await startHosts({ clock, hosts });
  const client = hostDialects['http-json']({ address, port, clock });
  assert.equal((await client.list()).unsafeCoerce(), hosts);
  faults.fail = true;
  assert.is(((await client.list()).extract() as Failure).kind, Kind.HostsUnavailable);
  await Promise.all([client.close(), close()]);
});

test.run();
