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

const member: FreshnessState = { ...makeFreshnessState(4), member: true };
const peer = { isInView: true, isBeingExpelled: false, viewVersion: 9 };
const question = { member: 'b', settings: 4, membership: 9 };
const round = (...responses: (FreshAnswer | undefined)[]) => ({
  startedAt: 1_000,
  responses: new Map(responses.map((response, index) => [`m${index}`, response])),
});

test('counting freshness from the answer would add the time that the answer took', () => {
  const after = recordExchange(member, { startedAt: 1_000, settings: 4 });
  assert.is(after.freshUntil, 1_000 + freshness.periodMs);
});

test('an exchange that names newer settings must not make older settings fresh', () => {
  const after = recordExchange(member, { startedAt: 1_000, settings: 5 });
  assert.is(after.freshUntil, -Infinity);
  assert.is(after.knownVersion, 5);
});

test('a relay counts from the question, less the drift of the clocks', () => {
  const after = recordRound(
    member,
    round(undefined, { verdict: 'relay', settings: 4, remainingMs: 1_000 }),
  );
  assert.is(after.freshUntil, 1_990);
});

test('a missing promise would let the silent member commit unseen', () => {
  const promise: FreshAnswer = { verdict: 'promise', settings: 4 };
  assert.is(recordRound(member, round(promise, promise)).freshUntil, 3_500);
  assert.is(recordRound(member, round(promise, undefined)).freshUntil, -Infinity);
  assert.is(
    recordRound(member, round(promise, { verdict: 'refusal', settings: 4 })).freshUntil,
    -Infinity,
  );
});

test('a process whose own commit is unresolved must not become fresh by the promises of the others', () => {
  const promise: FreshAnswer = { verdict: 'promise', settings: 4 };
  const uncertain = { ...member, unresolvedCommits: 1 };
  assert.is(recordRound(uncertain, round(promise, promise)).freshUntil, member.freshUntil);
  assert.ok(recordRound(member, round(promise, promise)).freshUntil > member.freshUntil);
});

test('members that only relay to one another at the start of an outage would all stop for a while', () => {
  const reading = { ...member, readValidUntil: 10_000 };
  const disconnected = recordFailure(reading);
  const decision = decideResponse(disconnected, question, { now: 1_000, peer });
  assert.is(decision.response.verdict, 'promise');
  assert.ok(decision.state.promisedUntil >= 1_000 + freshness.promiseMs);
  const again = recordExchange(decision.state, { startedAt: 1_100, settings: 4 });
  assert.is(decideResponse(again, question, { now: 1_200, peer }).response.verdict, 'relay');
  assert.not(
    mayCommit(again, { now: 1_200, isFull: true, hasUnsettledExpulsion: false }),
    'the promise binds',
  );
});

test('a promise of a member with newer settings must void the round', () => {
  const after = recordRound(member, round({ verdict: 'promise', settings: 5 }));
  assert.is(after.freshUntil, -Infinity);
  assert.is(after.knownVersion, 5);
});

test('a process that learns of its expulsion must stop although a relay arrived too', () => {
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

test('decision for a member that is expelled, or not known yet, would keep it fresh', () => {
  const verdict = (options: Partial<typeof peer>, membership = 9) =>
    decideResponse(member, { ...question, membership }, { now: 0, peer: { ...peer, ...options } })
      .response.verdict;
  assert.is(verdict({}), 'promise');
  assert.is(verdict({ isInView: false }), 'expelled');
  assert.is(verdict({ isInView: false }, 10), 'refusal');
  assert.is(verdict({ isBeingExpelled: true }), 'refusal');
});

test('a promise made while a commit is unresolved could hide that commit', () => {
  const uncertain = { ...member, unresolvedCommits: 1 };
  assert.is(decideResponse(uncertain, question, { now: 0, peer }).response.verdict, 'refusal');
});

test('a process that has applied a change without reading it in head must not vouch for the old one', () => {
  const applied = recordAppliedVersion(member, 5);
  const { response } = decideResponse(applied, question, { now: 0, peer });
  assert.equal(response, { verdict: 'refusal', settings: 5 });
});

test('a member with a fresh read relays it and gives no promise', () => {
  const fresh = { ...member, readValidUntil: 700 };
  const { response, state } = decideResponse(fresh, question, { now: 200, peer });
  assert.equal(response, { verdict: 'relay', settings: 4, remainingMs: 500 });
  assert.is(state.promisedUntil, -Infinity);
});

test('a commit while a promise binds, while provisional or while unsettled is refused', () => {
  const reading = { ...member, readValidUntil: 10_000 };
  const conditions = { now: 100, isFull: true, hasUnsettledExpulsion: false };
  assert.ok(mayCommit(reading, conditions));
  assert.not(mayCommit({ ...reading, promisedUntil: 101 }, conditions));
  assert.not(mayCommit(reading, { ...conditions, isFull: false }));
  assert.not(mayCommit(reading, { ...conditions, hasUnsettledExpulsion: true }));
  assert.not(mayCommit({ ...reading, readValidUntil: 100 }, conditions));
});

test.run();
