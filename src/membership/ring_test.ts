import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { Member, Row } from '../schema/mod.ts';
import {
  LifecycleEvent,
  Phase,
  emptyObservations,
  isFullMember,
  makeLifecycle,
  successors,
  updateObservations,
} from './mod.ts';

const member = (id: string, joined: number, seen: number): Member => ({
  id,
  address: '127.0.0.1',
  port: 1,
  dataCentre: 'd',
  region: 'r',
  joined,
  seen,
  sequence: 1,
  operation: 'o',
  draining: false,
});
const row = (version: number): Row => ({ key: 'members/d', version, value: {} });

test('the ring wraps around, so that the first members are watched, too', () => {
  assert.equal(successors('c', ['a', 'b', 'c', 'd'], 2), ['d', 'a']);
  assert.equal(successors('d', ['a', 'b', 'c', 'd']), ['a', 'b', 'c']);
  assert.equal(successors('a', ['a']), []);
});

const watch = (times: [startedAt: number, version: number][]) => {
  let observations = emptyObservations;
  let stale: Row[] = [];
  times.forEach(([startedAt, version]) => {
    const rows = [row(version)];
    ({ observations, stale } = updateObservations(observations, {
      startedAt,
      endedAt: startedAt + 5,
      rows,
    }));
  });
  return stale.length;
};

test('a member is stale only after 3 s of unchanged reads', () => {
  const heartbeats = (until: number) =>
    Array.from({ length: until }, (_, n) => [n * 800, 1] as [number, number]);
  assert.is(watch(heartbeats(4)), 0);
  assert.is(watch(heartbeats(5)), 1);
  assert.is(watch([...heartbeats(4), [3_200, 2]]), 0);
});

test('an outage between two reads does not make a member stale', () => {
  assert.is(
    watch([
      [0, 1],
      [60_000, 1],
    ]),
    0,
  );
});

test('a new member is not full before all older ones saw it and cannot miss its commits', () => {
  const older = member('a', 1, 1);
  assert.not(isFullMember('b', [older, member('b', 2, 2)]));
  assert.ok(isFullMember('b', [{ ...older, seen: 2 }, member('b', 2, 0), member('c', 3, 0)]));
  assert.not(isFullMember('b', [older]));
});

test('an expelled process has to join again before it can drain or commit', () => {
  const lifecycle = makeLifecycle();
  [
    LifecycleEvent.Joined,
    LifecycleEvent.SeenByAll,
    LifecycleEvent.Expel,
    LifecycleEvent.Drain,
  ].forEach(lifecycle.send);
  assert.is(lifecycle.phase(), Phase.Expelled);
  [
    LifecycleEvent.Rejoin,
    LifecycleEvent.Joined,
    LifecycleEvent.Drain,
    LifecycleEvent.Leave,
  ].forEach(lifecycle.send);
  assert.is(lifecycle.phase(), Phase.Left);
});

test.run();
