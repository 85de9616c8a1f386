import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ErrorKind } from '../errors/mod.ts';
import { buildFleet } from '../settings/mod.ts';
import type { Fleet } from '../settings/mod.ts';
import { issueKey, makeKeyVerifier, parseKey } from './mod.ts';
import type { IssuedKey } from './mod.ts';

const emptyFleet = buildFleet({}, 1).unsafeCoerce();

function fleetWith(keys: Record<string, IssuedKey[]>): Fleet {
  const teams = Object.entries(keys).map(([name, list]) => {
    const hashes = list.map(({ salt, hash }, i) => ({ id: `k${i + 1}`, salt, hash }));
    return [name, { name, share: 1, limit: 1, keys: hashes, queues: {} }] as const;
  });
  return { ...emptyFleet, teams: Object.fromEntries(teams) };
}

const issue = (team: string, id = 'k1') => issueKey({ owner: 'team', team, id });

test('a key must not be accepted for another team or key id', async () => {
  const millers = await issue('millers');
  const bakers = await issue('bakers');
  const verifier = makeKeyVerifier({
    fleet: () => fleetWith({ millers: [millers], bakers: [bakers] }),
  });
  const holder = (await verifier.verify(millers.key)).unsafeCoerce();
  assert.equal(holder, { owner: 'team', team: 'millers', id: 'k1', hash: millers.hash });
  const forged = [
    millers.key.replace('millers', 'bakers'),
    millers.key.replace('k1', 'k2'),
    millers.key.replace('millers', 'constructor'),
    `${millers.key}x`,
    millers.key.slice(0, -1),
    'secret',
    '',
  ];
  for (const key of forged) {
    const { kind } = (await verifier.verify(key)).swap().unsafeCoerce();
    assert.is(kind, ErrorKind.KeyRejected, key);
  }
});

test('scrypt on each request would block the process, so all requests share one run', async () => {
  const millers = await issue('millers');
  const verifier = makeKeyVerifier({ fleet: () => fleetWith({ millers: [millers] }) });
  await Promise.all(Array.from({ length: 50 }, () => verifier.verify(millers.key)));
  await verifier.verify(millers.key);
  const wrong = `${millers.key.slice(0, -2)}AA`;
  await verifier.verify(wrong);
  await verifier.verify(wrong);
  assert.is(verifier.state().runs, 2);
});

test('a revoked key must not be accepted from the cache', async () => {
  const millers = await issue('millers');
  let fleet = fleetWith({ millers: [millers] });
  const verifier = makeKeyVerifier({ fleet: () => fleet });
  const holder = (await verifier.verify(millers.key)).unsafeCoerce();
  fleet = fleetWith({ millers: [] });
  assert.ok((await verifier.verify(millers.key)).isLeft());
  assert.not(verifier.isInForce(holder));
  fleet = fleetWith({ millers: [await issue('millers')] });
  assert.ok((await verifier.verify(millers.key)).isLeft(), 'the id was issued anew');
  assert.not(verifier.isInForce(holder));
});

test('a key that is revoked while its hash is computed must be rejected', async () => {
  const millers = await issue('millers');
  let fleet = fleetWith({ millers: [millers] });
  const hash = () => {
    fleet = fleetWith({ millers: [] });
    return Promise.resolve(millers.hash);
  };
  const verifier = makeKeyVerifier({ fleet: () => fleet, hash });
  assert.ok((await verifier.verify(millers.key)).isLeft());
});

test('a flood of guesses must not use all threads and delay valid keys', async () => {
  const keys = [await issue('millers', 'k1'), await issue('millers', 'k2')];
  const completions: (() => void)[] = [];
  let maxRunning = 0;
  let running = 0;
  const hash = (key: string) =>
    new Promise<string>((resolve) => {
      running += 1;
      maxRunning = Math.max(maxRunning, running);
      completions.push(() => {
        running -= 1;
        resolve(keys.find((known) => known.key === key)?.hash ?? 'wrong');
      });
    });
  const verifier = makeKeyVerifier({ fleet: () => fleetWith({ millers: keys }), hash });
  const guesses = await Promise.all(
    Array.from({ length: 100 }, () => issue('millers').then(({ key }) => key)),
  );
  const results = guesses.map((key) => verifier.verify(key));
  const validResult = verifier.verify(keys[1]?.key ?? '');
  while (verifier.state().running > 0) {
    completions.shift()?.();
    await new Promise(setImmediate);
  }
  const kinds = (await Promise.all(results)).map((result) => result.swap().unsafeCoerce().kind);
  assert.is(maxRunning, 2);
  assert.is(kinds.filter((kind) => kind === ErrorKind.TooManyConnections).length, 92);
  assert.ok((await validResult).isRight());
  assert.is(verifier.state().cached, 1);
});

test('a key must state its owner, or a leaked key is hard to revoke', () => {
  const secret = 'A'.repeat(43);
  assert.equal(parseKey(`dwt_millers_k1_${secret}`), { owner: 'team', team: 'millers', id: 'k1' });
  assert.equal(parseKey(`dwo_ana_${secret}`), { owner: 'operator', id: 'ana' });
});

test.run();
