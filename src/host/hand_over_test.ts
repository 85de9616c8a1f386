import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Member } from '../cell/mod.ts';
import { makeVirtualClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeCandidacy } from './candidacy.ts';
import { makeHandOvers } from './hand_over.ts';

const test = suite('hand-over to a larger host');

function makeMember(name: string, processors: number): Member {
  return {
    name,
    instance: `${name}-1`,
    address: `${name}:1`,
    dataCentre: 'north',
    processors,
    clients: 0,
    isJustRestarted: false,
  };
}

/** Counts the resignations within 5 s of a scheduler on host `a`, which has one processor. */
async function countResignations(options: {
  other: Member;
  isTermCalm: boolean;
  respondingInstance: string | undefined;
}): Promise<number> {
  const clock = makeVirtualClock();
  const stopped = new AbortController();
  let isScheduler = true;
  let resignations = 0;
  const candidacy = makeCandidacy({
    clock,
    name: 'a',
    members: () => [makeMember('a', 1), options.other],
    claim: () => undefined,
  });
  const running = makeHandOvers({
    clock,
    log: silentLogger,
    peers: {
      async ping() {
        return {
          ...(options.respondingInstance ? { instance: options.respondingInstance } : {}),
          isConnectionRefused: false,
          epoch: 0,
          storeFailingMs: 0,
          storeRejectedMs: 0,
        };
      },
    },
    isTermCalm: () => isScheduler && options.isTermCalm,
    betterMember: candidacy.betterMember,
    async resign() {
      isScheduler = false;
      resignations += 1;
    },
  })(stopped.signal);
  await clock.advance(5_000);
  stopped.abort();
  await running;
  return resignations;
}

test('a small host that won the first claim does not keep the role from a larger one', async () => {
  const calm = { other: makeMember('b', 4), isTermCalm: true, respondingInstance: 'b-1' };
  assert.is(await countResignations(calm), 1);
});

test('the role is not given to a host that does not respond or is hardly larger, nor in a hurry', async () => {
  const calm = { other: makeMember('b', 4), isTermCalm: true, respondingInstance: 'b-1' };
  assert.is(await countResignations({ ...calm, respondingInstance: undefined }), 0);
  assert.is(await countResignations({ ...calm, respondingInstance: 'b-2' }), 0, 'restarted');
  assert.is(await countResignations({ ...calm, other: makeMember('b', 1.2) }), 0);
  assert.is(await countResignations({ ...calm, isTermCalm: false }), 0);
});

test('a process that has handed the role over does not claim it again before the others', () => {
  const members = [makeMember('a', 1), makeMember('b', 4)];
  const claim = { epoch: 1, name: 'a', instance: '', address: 'a:1', predecessorMayAct: false };
  const [first, second] = ['a', 'b'].map((name) =>
    makeCandidacy({
      clock: makeVirtualClock(),
      name,
      members: () => members,
      claim: () => claim,
    }).claimDelayMs(),
  );
  assert.ok(first! > second!, `${first} ms, ${second} ms`);
});

test('only a few processes watch the scheduler closely, the best candidates', () => {
  const members = Array.from({ length: 30 }, (_, index) => makeMember(`m${index}`, index));
  const candidates = members.filter(({ name }) =>
    makeCandidacy({
      clock: makeVirtualClock(),
      name,
      members: () => members,
      claim: () => undefined,
    }).isCandidate(),
  );
  assert.equal(
    candidates.map(({ name }) => name),
    ['m25', 'm26', 'm27', 'm28', 'm29'],
  );
});

test.run();
