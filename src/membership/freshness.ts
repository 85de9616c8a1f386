/**
 * Freshness as pure functions: until when a process may act on the settings that it has applied, and
 * what it answers to a peer that asks for a relay or a promise (design section 4.4).
 */
import type { FreshAnswer, FreshQuestion } from '../schema/mod.ts';

/** Lengths that the safety argument of section 4.4 rests on. */
export const freshness = {
  /** How long evidence of being up to date counts, from the time at which it was asked for. */
  periodMs: 2_500,
  /** How long a promise not to commit a settings change holds; at least as long as the period. */
  promiseMs: 2_500,
  /** Monotonic clocks may differ in rate by this much. */
  drift: 0.01,
} as const;

/** What a process knows that decides about freshness. Times are on its monotonic clock. */
export interface Knowledge {
  /** Settings version in force here. */
  applied: number;
  /** Newest settings version that is known to exist. */
  known: number;
  /** Until when the last own read of the table counts. */
  readUntil: number;
  /** Until when the process is fresh by any evidence. */
  freshUntil: number;
  /** Until when the own promises bind. */
  promisedUntil: number;
  /** Settings commits that are in flight or whose outcome is not known. */
  committing: number;
  /** True while the last exchange with the table service failed. */
  cutOff: boolean;
  /** False unless the process is provisional, full or draining. */
  member: boolean;
}

/** What is known of the peer that asks. */
export interface Asker {
  inView: boolean;
  /** An expulsion of the peer by this process is in flight or its outcome is not known. */
  expelling: boolean;
  /** Membership version of the view of this process. */
  viewVersion: number;
}

/**
 * Knowledge of a process that has no evidence yet.
 *
 * @example
 * const knowledge = noKnowledge(settings.current().version);
 */
export function noKnowledge(applied: number): Knowledge {
  return {
    applied,
    known: applied,
    readUntil: -Infinity,
    freshUntil: -Infinity,
    promisedUntil: -Infinity,
    committing: 0,
    cutOff: false,
    member: false,
  };
}

/**
 * Notes the settings version in force here. It is known to exist from then on, also where no read of
 * `head` has told it: a process that commits a change, or gets it from a peer, must not vouch for the
 * version before.
 *
 * @example
 * afterApplied(knowledge, settings.current().version);
 */
export function afterApplied(knowledge: Knowledge, version: number): Knowledge {
  const applied = Math.max(knowledge.applied, version);
  return { ...knowledge, applied, known: Math.max(knowledge.known, applied) };
}

/**
 * Extends freshness by an exchange with the table service that began at `begunAt` and returned `head`.
 *
 * @example
 * afterExchange(knowledge, { begunAt: clock.now(), settings: head.settings });
 */
export function afterExchange(
  knowledge: Knowledge,
  { begunAt, settings }: { begunAt: number; settings: number },
): Knowledge {
  const known = Math.max(knowledge.known, settings);
  if (knowledge.applied < known) return { ...knowledge, known, cutOff: false };
  const until = begunAt + freshness.periodMs;
  return {
    ...knowledge,
    known,
    cutOff: false,
    readUntil: Math.max(knowledge.readUntil, until),
    freshUntil: Math.max(knowledge.freshUntil, until),
  };
}

/**
 * Notes that an exchange with the table service failed. The process then answers with promises, even
 * while its last read still counts: a relay ends with that read, so that members who only relay to one
 * another would all stop being fresh before their first round of promises.
 *
 * @example
 * afterFailure(knowledge).cutOff; // true
 */
export function afterFailure(knowledge: Knowledge): Knowledge {
  return { ...knowledge, cutOff: true };
}

/** The answers to one round of questions; undefined for a member that did not answer. */
export interface Round {
  begunAt: number;
  answers: Map<string, FreshAnswer | undefined>;
}

/**
 * Extends freshness by the answers of a round. One relay is enough; promises count only when every
 * known member gave one. A single answer `expelled`, or a newer settings version, voids the round.
 *
 * @example
 * afterRound(knowledge, { begunAt, answers });
 */
export function afterRound(knowledge: Knowledge, { begunAt, answers }: Round): Knowledge {
  const given = [...answers.values()];
  const known = given.reduce(
    (max, answer) => Math.max(max, answer?.settings ?? 0),
    knowledge.known,
  );
  if (given.some((answer) => answer?.verdict === 'expelled')) {
    return { ...knowledge, known, freshUntil: -Infinity, readUntil: -Infinity };
  }
  if (knowledge.applied < known) return { ...knowledge, known };
  const relays = given.flatMap((answer) =>
    answer?.verdict === 'relay' && answer.settings === knowledge.applied
      ? [begunAt + (answer.remainingMs ?? 0) * (1 - freshness.drift)]
      : [],
  );
  // The process itself is a known member: while a commit of its own is unresolved, its settings may be
  // the ones that were replaced, and it cannot count on the promises of the others.
  const promised =
    knowledge.committing === 0 && given.every((answer) => answer?.verdict === 'promise');
  const until = Math.max(
    knowledge.freshUntil,
    ...relays,
    promised ? begunAt + freshness.periodMs : -Infinity,
  );
  return { ...knowledge, known, freshUntil: until };
}

/** Answers a peer, and the knowledge after the answer, since a promise binds. */
export interface Vouching {
  answer: FreshAnswer;
  knowledge: Knowledge;
}

/** Rules of this file that a mutation test can replace; nothing else passes them. */
export interface FreshnessRules {
  mayPromise: (knowledge: Knowledge) => boolean;
}

/** The rules in force. */
export const freshnessRules: FreshnessRules = {
  // An unresolved commit may have taken effect, so this process does not know the newest version.
  mayPromise: (knowledge) => knowledge.committing === 0,
};

/**
 * Decides the answer to a peer. A peer outside the view gets neither relay nor promise: it has been
 * expelled, or it is newer than the view and not known yet.
 *
 * @example
 * vouchFor(knowledge, question, { now, asker });
 */
export function vouchFor(
  knowledge: Knowledge,
  question: FreshQuestion,
  { now, asker, rules = freshnessRules }: { now: number; asker: Asker; rules?: FreshnessRules },
): Vouching {
  const settings = knowledge.known;
  const answer = (verdict: FreshAnswer['verdict'], remainingMs?: number): Vouching => ({
    answer: { verdict, settings, ...(remainingMs === undefined ? {} : { remainingMs }) },
    knowledge,
  });
  if (!knowledge.member || asker.expelling) return answer('refusal');
  if (!asker.inView) {
    return answer(question.membership <= asker.viewVersion ? 'expelled' : 'refusal');
  }
  if (question.settings < settings) return answer('refusal');
  if (now < knowledge.readUntil && !knowledge.cutOff) {
    return question.settings === settings && knowledge.applied === settings
      ? answer('relay', knowledge.readUntil - now)
      : answer('refusal');
  }
  if (!rules.mayPromise(knowledge)) return answer('refusal');
  return {
    ...answer('promise'),
    knowledge: {
      ...knowledge,
      promisedUntil: Math.max(
        knowledge.promisedUntil,
        now + freshness.promiseMs * (1 + freshness.drift),
      ),
    },
  };
}

/**
 * Says whether a settings change may be committed: the process is a full member with a fresh read, is
 * bound by no promise, and no member expelled by a provisional one awaits settlement.
 *
 * @example
 * mayCommit(knowledge, { now, full: true, unsettled: false });
 */
export function mayCommit(
  knowledge: Knowledge,
  { now, full, unsettled }: { now: number; full: boolean; unsettled: boolean },
): boolean {
  return (
    knowledge.member &&
    full &&
    !unsettled &&
    now < knowledge.readUntil &&
    now >= knowledge.promisedUntil
  );
}
