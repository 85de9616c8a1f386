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
  maxClockDrift: 0.01,
} as const;

/** What a process knows that decides about freshness. Times are on its monotonic clock. */
export interface FreshnessState {
  /** Settings version in force here. */
  appliedVersion: number;
  /** Newest settings version that is known to exist. */
  knownVersion: number;
  /** Until when the last own read of the table counts. */
  readValidUntil: number;
  /** Until when the process is fresh by any evidence. */
  freshUntil: number;
  /** Until when the own promises bind. */
  promisedUntil: number;
  /** Settings commits that are in flight or whose outcome is not known. */
  unresolvedCommits: number;
  /** True while the last exchange with the table service failed. */
  isTableUnreachable: boolean;
  /** False unless the process is provisional, full or draining. */
  member: boolean;
}

/** What is known of the peer that asks. */
export interface AskingPeer {
  isInView: boolean;
  /** An expulsion of the peer by this process is in flight or its outcome is not known. */
  isBeingExpelled: boolean;
  /** Membership version of the view of this process. */
  viewVersion: number;
}

/**
 * Knowledge of a process that has no evidence yet.
 *
 * @example
 * const state = noKnowledge(settings.current().version);
 */
export function makeFreshnessState(appliedVersion: number): FreshnessState {
  return {
    appliedVersion,
    knownVersion: appliedVersion,
    readValidUntil: -Infinity,
    freshUntil: -Infinity,
    promisedUntil: -Infinity,
    unresolvedCommits: 0,
    isTableUnreachable: false,
    member: false,
  };
}

/**
 * Notes the settings version in force here. It is known to exist from then on, also where no read of
 * `head` has told it: a process that commits a change, or gets it from a peer, must not vouch for the
 * version before.
 *
 * @example
 * afterApplied(state, settings.current().version);
 */
export function recordAppliedVersion(state: FreshnessState, version: number): FreshnessState {
  const appliedVersion = Math.max(state.appliedVersion, version);
  return { ...state, appliedVersion, knownVersion: Math.max(state.knownVersion, appliedVersion) };
}

/**
 * Extends freshness by an exchange with the table service that began at `startedAt` and returned `head`.
 *
 * @example
 * afterExchange(state, { startedAt: clock.now(), settings: head.settings });
 */
export function recordExchange(
  state: FreshnessState,
  { startedAt, settings }: { startedAt: number; settings: number },
): FreshnessState {
  const knownVersion = Math.max(state.knownVersion, settings);
  if (state.appliedVersion < knownVersion)
    return { ...state, knownVersion, isTableUnreachable: false };
  const until = startedAt + freshness.periodMs;
  return {
    ...state,
    knownVersion,
    isTableUnreachable: false,
    readValidUntil: Math.max(state.readValidUntil, until),
    freshUntil: Math.max(state.freshUntil, until),
  };
}

/**
 * Notes that an exchange with the table service failed. The process then answers with promises, even
 * while its last read still counts: a relay ends with that read, so that members who only relay to one
 * another would all stop being fresh before their first round of promises.
 *
 * @example
 * afterFailure(state).cutOff; // true
 */
export function recordFailure(state: FreshnessState): FreshnessState {
  return { ...state, isTableUnreachable: true };
}

/** The answers to one round of questions; undefined for a member that did not answer. */
export interface FreshnessRound {
  startedAt: number;
  responses: Map<string, FreshAnswer | undefined>;
}

/**
 * Extends freshness by the answers of a round. One relay is enough; promises count only when every
 * known member gave one. A single answer `expelled`, or a newer settings version, voids the round.
 *
 * @example
 * afterRound(state, { startedAt, answers });
 */
export function recordRound(
  state: FreshnessState,
  { startedAt, responses }: FreshnessRound,
): FreshnessState {
  const received = [...responses.values()];
  const knownVersion = received.reduce(
    (max, response) => Math.max(max, response?.settings ?? 0),
    state.knownVersion,
  );
  if (received.some((response) => response?.verdict === 'expelled')) {
    return { ...state, knownVersion, freshUntil: -Infinity, readValidUntil: -Infinity };
  }
  if (state.appliedVersion < knownVersion) return { ...state, knownVersion };
  const relays = received.flatMap((response) =>
    response?.verdict === 'relay' && response.settings === state.appliedVersion
      ? [startedAt + (response.remainingMs ?? 0) * (1 - freshness.maxClockDrift)]
      : [],
  );
  // The process itself is a known member: while a commit of its own is unresolved, its settings may be
  // the ones that were replaced, and it cannot count on the promises of the others.
  const isPromisedByAll =
    state.unresolvedCommits === 0 && received.every((response) => response?.verdict === 'promise');
  const until = Math.max(
    state.freshUntil,
    ...relays,
    isPromisedByAll ? startedAt + freshness.periodMs : -Infinity,
  );
  return { ...state, knownVersion, freshUntil: until };
}

/** Answers a peer, and the state after the answer, since a promise binds. */
export interface FreshnessResponse {
  response: FreshAnswer;
  state: FreshnessState;
}

/** Rules of this file that a mutation test can replace; nothing else passes them. */
export interface FreshnessRules {
  mayPromise: (state: FreshnessState) => boolean;
}

/** The rules in force. */
export const freshnessRules: FreshnessRules = {
  // An unresolved commit may have taken effect, so this process does not know the newest version.
  mayPromise: (state) => state.unresolvedCommits === 0,
};

/**
 * Decides the answer to a peer. A peer outside the view gets neither relay nor promise: it has been
 * expelled, or it is newer than the view and not known yet.
 *
 * @example
 * vouchFor(state, question, { now, peer });
 */
export function decideResponse(
  state: FreshnessState,
  question: FreshQuestion,
  { now, peer, rules = freshnessRules }: { now: number; peer: AskingPeer; rules?: FreshnessRules },
): FreshnessResponse {
  const settings = state.knownVersion;
  const respond = (verdict: FreshAnswer['verdict'], remainingMs?: number): FreshnessResponse => ({
    response: { verdict, settings, ...(remainingMs === undefined ? {} : { remainingMs }) },
    state,
  });
  if (!state.member || peer.isBeingExpelled) return respond('refusal');
  if (!peer.isInView) {
    return respond(question.membership <= peer.viewVersion ? 'expelled' : 'refusal');
  }
  if (question.settings < settings) return respond('refusal');
  if (now < state.readValidUntil && !state.isTableUnreachable) {
    return question.settings === settings && state.appliedVersion === settings
      ? respond('relay', state.readValidUntil - now)
      : respond('refusal');
  }
  if (!rules.mayPromise(state)) return respond('refusal');
  return {
    ...respond('promise'),
    state: {
      ...state,
      promisedUntil: Math.max(
        state.promisedUntil,
        now + freshness.promiseMs * (1 + freshness.maxClockDrift),
      ),
    },
  };
}

/**
 * Says whether a settings change may be committed: the process is a full member with a fresh read, is
 * bound by no promise, and no member expelled by a provisional one awaits settlement.
 *
 * @example
 * mayCommit(state, { now, full: true, unsettled: false });
 */
export function mayCommit(
  state: FreshnessState,
  {
    now,
    isFull,
    hasUnsettledExpulsion,
  }: { now: number; isFull: boolean; hasUnsettledExpulsion: boolean },
): boolean {
  return (
    state.member &&
    isFull &&
    !hasUnsettledExpulsion &&
    now < state.readValidUntil &&
    now >= state.promisedUntil
  );
}
