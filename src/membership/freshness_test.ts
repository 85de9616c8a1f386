import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { FreshAnswer } from '../schema/mod.ts';
import {
  afterApplied,
  afterExchange,
  afterFailure,
  afterRound,
  freshness,
  mayCommit,
  noKnowledge,
  vouchFor,
} from './mod.ts';
import type { Knowledge } from './mod.ts';

const member: Knowledge = { ...noKnowledge(4), member: true };
const asker = { inView: true, expelling: false, viewVersion: 9 };
const question = { member: 'b', settings: 4, membership: 9 };
const round = (...answers: (FreshAnswer | undefined)[]) => ({
  begunAt: 1_000,
  answers: new Map(answers.map((answer, index) => [`m${index}`, answer])),
});

test('counting freshness from the answer would add the time that the answer took', () => {
  const after = afterExchange(member, { begunAt: 1_000, settings: 4 });
  assert.is(after.freshUntil, 1_000 + freshness.periodMs);
});

test('an exchange that names newer settings must not make older settings fresh', () => {
  const after = afterExchange(member, { begunAt: 1_000, settings: 5 });
  assert.is(after.freshUntil, -Infinity);
  assert.is(after.known, 5);
});

test('a relay counts from the question, less the drift of the clocks', () => {
  const after = afterRound(
    member,
    round(undefined, { verdict: 'relay', settings: 4, remainingMs: 1_000 }),
  );
  assert.is(after.freshUntil, 1_990);
});

test('a missing promise would let the silent member commit unseen', () => {
  const promise: FreshAnswer = { verdict: 'promise', settings: 4 };
  assert.is(afterRound(member, round(promise, promise)).freshUntil, 3_500);
  assert.is(afterRound(member, round(promise, undefined)).freshUntil, -Infinity);
  assert.is(
    afterRound(member, round(promise, { verdict: 'refusal', settings: 4 })).freshUntil,
    -Infinity,
  );
});

test('a process whose own commit is unresolved must not become fresh by the promises of the others', () => {
  const promise: FreshAnswer = { verdict: 'promise', settings: 4 };
  const committing = { ...member, committing: 1 };
  assert.is(afterRound(committing, round(promise, promise)).freshUntil, member.freshUntil);
  assert.ok(afterRound(member, round(promise, promise)).freshUntil > member.freshUntil);
});

test('members that only relay to one another at the start of an outage would all stop for a while', () => {
  const reading = { ...member, readUntil: 10_000 };
  const cutOff = afterFailure(reading);
  const vouching = vouchFor(cutOff, question, { now: 1_000, asker });
  assert.is(vouching.answer.verdict, 'promise');
  assert.ok(vouching.knowledge.promisedUntil >= 1_000 + freshness.promiseMs);
  const again = afterExchange(vouching.knowledge, { begunAt: 1_100, settings: 4 });
  assert.is(vouchFor(again, question, { now: 1_200, asker }).answer.verdict, 'relay');
  assert.not(mayCommit(again, { now: 1_200, full: true, unsettled: false }), 'the promise binds');
});

test('a promise of a member with newer settings must void the round', () => {
  const after = afterRound(member, round({ verdict: 'promise', settings: 5 }));
  assert.is(after.freshUntil, -Infinity);
  assert.is(after.known, 5);
});

test('a process that learns of its expulsion must stop although a relay arrived too', () => {
  const fresh = { ...member, freshUntil: 2_000, readUntil: 2_000 };
  const after = afterRound(
    fresh,
    round(
      { verdict: 'relay', settings: 4, remainingMs: 900 },
      { verdict: 'expelled', settings: 4 },
    ),
  );
  assert.is(after.freshUntil, -Infinity);
});

test('vouching for a member that is expelled, or not known yet, would keep it fresh', () => {
  const verdict = (options: Partial<typeof asker>, membership = 9) =>
    vouchFor(member, { ...question, membership }, { now: 0, asker: { ...asker, ...options } })
      .answer.verdict;
  assert.is(verdict({}), 'promise');
  assert.is(verdict({ inView: false }), 'expelled');
  assert.is(verdict({ inView: false }, 10), 'refusal');
  assert.is(verdict({ expelling: true }), 'refusal');
});

test('a promise made while a commit is unresolved could hide that commit', () => {
  const committing = { ...member, committing: 1 };
  assert.is(vouchFor(committing, question, { now: 0, asker }).answer.verdict, 'refusal');
});

test('a process that has applied a change without reading it in head must not vouch for the old one', () => {
  const applied = afterApplied(member, 5);
  const { answer } = vouchFor(applied, question, { now: 0, asker });
  assert.equal(answer, { verdict: 'refusal', settings: 5 });
});

test('a member with a fresh read relays it and gives no promise', () => {
  const fresh = { ...member, readUntil: 700 };
  const { answer, knowledge } = vouchFor(fresh, question, { now: 200, asker });
  assert.equal(answer, { verdict: 'relay', settings: 4, remainingMs: 500 });
  assert.is(knowledge.promisedUntil, -Infinity);
});

test('a commit while a promise binds, while provisional or while unsettled is refused', () => {
  const reading = { ...member, readUntil: 10_000 };
  const state = { now: 100, full: true, unsettled: false };
  assert.ok(mayCommit(reading, state));
  assert.not(mayCommit({ ...reading, promisedUntil: 101 }, state));
  assert.not(mayCommit(reading, { ...state, full: false }));
  assert.not(mayCommit(reading, { ...state, unsettled: true }));
  assert.not(mayCommit({ ...reading, readUntil: 100 }, state));
});

test.run();
