/**
 * Freshness as pure functions: until when a process may act on its applied settings, and how it
 * responds to a peer that cannot reach the table service (design section 4.4). The response is a
 * relay, which passes on the responder's own recent read of the table, or a promise not to commit a
 * settings change for a while.
 */
import type { FreshAnswer, FreshQuestion } from '../schema/mod.ts';

/** Durations that the safety argument of section 4.4 depends on. */
export const freshness = {
  /** How long evidence of being up to date is valid, counted from the start of the request. */
  periodMs: 2_500,
  /** How long a promise not to commit a settings change holds; at least `periodMs`. */
  promiseMs: 2_500,
  /** Maximum relative difference in rate between two monotonic clocks. */
  maxClockDrift: 0.01,
} as const;

/** The state that determines freshness. Times are on the monotonic clock of the process. */
export interface FreshnessState {
  /** Settings version that this process has applied. */
  appliedVersion: number;
  /** Newest settings version known to exist. */
  knownVersion: number;
  /** Until when this process's last read of the table is valid evidence. */
  readValidUntil: number;
  /** Until when the process is fresh, by any evidence. */
  freshUntil: number;
  /** Until when this process must keep the promises that it gave. */
  promisedUntil: number;
  /** Number of settings commits that are in flight or have an unknown outcome. */
  unresolvedCommits: number;
  /** Whether the last exchange with the table service failed. */
  isDisconnected: boolean;
  /** Whether the process is a member: provisional, full or draining. */
  isMember: boolean;
}

/** What this process knows about the peer that asks. */
export interface AskingPeer {
  /** Whether the peer is in the view of this process. */
  isInView: boolean;
  /** Whether this process has an expulsion of the peer in flight or with an unknown outcome. */
  isBeingExpelled: boolean;
  /** Membership version of the view of this process. */
  viewVersion: number;
}

/**
 * Makes the state of a process that has no evidence yet.
 *
 * @example
 * const state = makeFreshnessState(settings.current().version);
 */
export function makeFreshnessState(appliedVersion: number): FreshnessState {
  return {
    appliedVersion,
    knownVersion: appliedVersion,
    readValidUntil: -Infinity,
    freshUntil: -Infinity,
    promisedUntil: -Infinity,
    unresolvedCommits: 0,
    isDisconnected: false,
    isMember: false,
  };
}

/**
 * Records the settings version that this process has applied. It also counts as known to exist,
 * even if no read of `head` has shown it: a process that commits a change or gets it from a peer
 * must not vouch for the previous version.
 *
 * @example
 * recordAppliedVersion(state, settings.current().version);
 */
export function recordAppliedVersion(state: FreshnessState, version: number): FreshnessState {
  const appliedVersion = Math.max(state.appliedVersion, version);
  return { ...state, appliedVersion, knownVersion: Math.max(state.knownVersion, appliedVersion) };
}

/**
 * Extends freshness after an exchange with the table service that began at `startedAt`; `settings`
 * is the version that the row `head` contained.
 *
 * @example
 * recordExchange(state, { startedAt: clock.now(), settings: head.settings });
 */
export function recordExchange(
  state: FreshnessState,
  { startedAt, settings }: { startedAt: number; settings: number },
): FreshnessState {
  const knownVersion = Math.max(state.knownVersion, settings);
  if (state.appliedVersion < knownVersion) return { ...state, knownVersion, isDisconnected: false };
  const until = startedAt + freshness.periodMs;
  return {
    ...state,
    knownVersion,
    isDisconnected: false,
    readValidUntil: Math.max(state.readValidUntil, until),
    freshUntil: Math.max(state.freshUntil, until),
  };
}

/**
 * Records that an exchange with the table service failed. From then on the process responds with
 * promises, even while its last read is still valid. A relay expires with that read, so members
 * that only relay to one another would all stop being fresh before their first round of promises.
 *
 * @example
 * recordFailure(state).isDisconnected; // true
 */
export function recordFailure(state: FreshnessState): FreshnessState {
  return { ...state, isDisconnected: true };
}

/** The responses to one round of questions; undefined for a member that did not respond. */
export interface FreshnessRound {
  startedAt: number;
  responses: Map<string, FreshAnswer | undefined>;
}

/**
 * Extends freshness after a round. One relay is enough; promises count only if every known member
 * gave one. A single response `expelled` or a newer settings version invalidates the round.
 *
 * @example
 * recordRound(state, { startedAt, responses });
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
  // This process is a known member, too: while a commit of its own is unresolved, its settings may
  // already be replaced, so promises of the other members prove nothing.
  const isPromisedByAll =
    state.unresolvedCommits === 0 && received.every((response) => response?.verdict === 'promise');
  const until = Math.max(
    state.freshUntil,
    ...relays,
    isPromisedByAll ? startedAt + freshness.periodMs : -Infinity,
  );
  return { ...state, knownVersion, freshUntil: until };
}

/** The response to a peer, and the state after it, which a promise changes. */
export interface FreshnessResponse {
  response: FreshAnswer;
  state: FreshnessState;
}

/** Rules of this module that a mutation test can replace. */
export interface FreshnessRules {
  mayPromise: (state: FreshnessState) => boolean;
}

/** The rules that production code uses. */
export const freshnessRules: FreshnessRules = {
  // An unresolved commit may have taken effect, so this process may not know the newest version.
  mayPromise: (state) => state.unresolvedCommits === 0,
};

/**
 * Decides how to respond to a peer. A peer outside the view gets neither relay nor promise: it was
 * expelled, or it joined after the view.
 *
 * @example
 * decideResponse(state, question, { now, peer });
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
  if (!state.isMember || peer.isBeingExpelled) return respond('refusal');
  if (!peer.isInView) {
    return respond(question.membership <= peer.viewVersion ? 'expelled' : 'refusal');
  }
  if (question.settings < settings) return respond('refusal');
  if (now < state.readValidUntil && !state.isDisconnected) {
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
 * Whether the process may commit a settings change: it is a full member with a valid read of its
 * own, none of its promises is in force, and every member expelled by a provisional member is
 * settled.
 *
 * @example
 * mayCommit(state, { now, isFull: true, hasUnsettledExpulsion: false });
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
    state.isMember &&
    isFull &&
    !hasUnsettledExpulsion &&
    now < state.readValidUntil &&
    now >= state.promisedUntil
  );
}
