import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { FreshAnswer } from '../schema/mod.ts';
import {
  decideResponse,
  freshness,
  makeFreshnessState,
  mayCommit,
  recordAppliedVersion,
  recordExchange,
  recordFailure,
  recordRound,
} from './mod.ts';
import type { FreshnessState } from './mod.ts';

const member: FreshnessState = { ...makeFreshnessState(4), isMember: true };
const peer = { isInView: true, isBeingExpelled: false, viewVersion: 9 };
const question = { member: 'b', settings: 4, membership: 9 };
const round = (...responses: (FreshAnswer | undefined)[]) => ({
  startedAt: 1_000,
  responses: new Map(responses.map((response, index) => [`m${index}`, response])),
});

test('freshness counts from the start of an exchange, not from its response', () => {
  const after = recordExchange(member, { startedAt: 1_000, settings: 4 });
  assert.is(after.freshUntil, 1_000 + freshness.periodMs);
});

test('an exchange that shows newer settings does not make the older ones fresh', () => {
  const after = recordExchange(member, { startedAt: 1_000, settings: 5 });
  assert.is(after.freshUntil, -Infinity);
  assert.is(after.knownVersion, 5);
});

test('a relay counts from the start of the round, less the clock drift', () => {
  const after = recordRound(
    member,
    round(undefined, { verdict: 'relay', settings: 4, remainingMs: 1_000 }),
  );
  assert.is(after.freshUntil, 1_990);
});

test('promises do not count if one is missing: that member could commit unnoticed', () => {
  const promise: FreshAnswer = { verdict: 'promise', settings: 4 };
  assert.is(recordRound(member, round(promise, promise)).freshUntil, 3_500);
  assert.is(recordRound(member, round(promise, undefined)).freshUntil, -Infinity);
  assert.is(
    recordRound(member, round(promise, { verdict: 'refusal', settings: 4 })).freshUntil,
    -Infinity,
  );
});

test('a process with an unresolved commit does not become fresh by promises of others', () => {
  const promise: FreshAnswer = { verdict: 'promise', settings: 4 };
  const uncertain = { ...member, unresolvedCommits: 1 };
  assert.is(recordRound(uncertain, round(promise, promise)).freshUntil, member.freshUntil);
  assert.ok(recordRound(member, round(promise, promise)).freshUntil > member.freshUntil);
});

test('a member without the table promises at once: relays alone would all expire together', () => {
  const reading = { ...member, readValidUntil: 10_000 };
  const disconnected = recordFailure(reading);
  const decision = decideResponse(disconnected, question, { now: 1_000, peer });
  assert.is(decision.response.verdict, 'promise');
  assert.ok(decision.state.promisedUntil >= 1_000 + freshness.promiseMs);
  const reconnected = recordExchange(decision.state, { startedAt: 1_100, settings: 4 });
  assert.is(decideResponse(reconnected, question, { now: 1_200, peer }).response.verdict, 'relay');
  assert.not(
    mayCommit(reconnected, { now: 1_200, isFull: true, hasUnsettledExpulsion: false }),
    'the promise is still in force',
  );
});

test('a promise from a member with newer settings invalidates the round', () => {
  const after = recordRound(member, round({ verdict: 'promise', settings: 5 }));
  assert.is(after.freshUntil, -Infinity);
  assert.is(after.knownVersion, 5);
});

test('a response of expelled ends freshness even if a relay arrives, too', () => {
  const fresh = { ...member, freshUntil: 2_000, readValidUntil: 2_000 };
  const after = recordRound(
    fresh,
    round(
      { verdict: 'relay', settings: 4, remainingMs: 900 },
      { verdict: 'expelled', settings: 4 },
    ),
  );
  assert.is(after.freshUntil, -Infinity);
});

test('a member that is expelled or not in the view yet is not kept fresh by its peers', () => {
  const verdict = (options: Partial<typeof peer>, membership = 9) =>
    decideResponse(member, { ...question, membership }, { now: 0, peer: { ...peer, ...options } })
      .response.verdict;
  assert.is(verdict({}), 'promise');
  assert.is(verdict({ isInView: false }), 'expelled');
  assert.is(verdict({ isInView: false }, 10), 'refusal');
  assert.is(verdict({ isBeingExpelled: true }), 'refusal');
});

test('a process with an unresolved commit gives no promise, which could hide it', () => {
  const uncertain = { ...member, unresolvedCommits: 1 };
  assert.is(decideResponse(uncertain, question, { now: 0, peer }).response.verdict, 'refusal');
});

test('a process that applied a change unseen in head does not vouch for the old version', () => {
  const applied = recordAppliedVersion(member, 5);
  const { response } = decideResponse(applied, question, { now: 0, peer });
  assert.equal(response, { verdict: 'refusal', settings: 5 });
});

test('a member with a valid read relays it and gives no promise', () => {
  const fresh = { ...member, readValidUntil: 700 };
  const { response, state } = decideResponse(fresh, question, { now: 200, peer });
  assert.equal(response, { verdict: 'relay', settings: 4, remainingMs: 500 });
  assert.is(state.promisedUntil, -Infinity);
});

test('no commit while provisional, with a promise in force or an unsettled expulsion', () => {
  const reading = { ...member, readValidUntil: 10_000 };
  const conditions = { now: 100, isFull: true, hasUnsettledExpulsion: false };
  assert.ok(mayCommit(reading, conditions));
  assert.not(mayCommit({ ...reading, promisedUntil: 101 }, conditions));
  assert.not(mayCommit(reading, { ...conditions, isFull: false }));
  assert.not(mayCommit(reading, { ...conditions, hasUnsettledExpulsion: true }));
  assert.not(mayCommit({ ...reading, readValidUntil: 100 }, conditions));
});

test.run();
