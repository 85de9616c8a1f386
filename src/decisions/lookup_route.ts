/**
 * What to do with a lookup that has no free place here: wait, hand it over to a peer, or refuse it
 * while the caller can still try elsewhere.
 */

/** What this process knows of a peer, from answers to earlier hand-overs. */
export interface PeerReport {
  id: string;
  /** Wait that a lookup had there. */
  waitMs: number;
  ageMs: number;
}

/** The state around one lookup. */
export interface LookupState {
  /** Time left in which the lookup must start. */
  remainingMs: number;
  /** True when a worker of this process has room. */
  free: boolean;
  /** Lookups that wait here, places they share, and mean run time. */
  queued: number;
  places: number;
  meanRunMs: number;
  /** False when the lookup was already handed over once. */
  mayHandOver: boolean;
  peers: PeerReport[];
  hopMs: number;
}

/** What to do. */
export interface LookupRoute {
  action: 'place' | 'wait' | 'hand-over' | 'shed';
  peer?: string;
  reason: string;
}

// Reports lose half of their weight in this time.
const reportHalfLifeMs = 2_000;
// A hand-over must be better by this factor, so that two processes do not exchange lookups.
const handOverGain = 0.7;
// Part of the remaining time that an expected wait may use, because the estimate is uncertain.
const usablePart = 0.8;

/**
 * Decides on a lookup. Two random peers are compared, so that old reports do not send all
 * processes' lookups to the same peer.
 *
 * @example
 * routeLookup(state, random).action;
 */
export function routeLookup(state: LookupState, random: () => number): LookupRoute {
  const { remainingMs, queued, places, meanRunMs, peers, hopMs } = state;
  if (state.free) return { action: 'place', reason: 'a worker has room' };
  const waitMs = places > 0 ? ((queued + 1) * meanRunMs) / places : Infinity;

  const expected = ({ waitMs: reported, ageMs }: PeerReport) => {
    const trust = 0.5 ** (ageMs / reportHalfLifeMs);
    // Without a recent report a peer is taken to be half as busy as this process.
    const prior = Math.min(waitMs, remainingMs) / 2;
    return reported * trust + prior * (1 - trust) + hopMs;
  };
  const draw = () => peers[Math.floor(random() * peers.length)];
  const drawn = state.mayHandOver ? [draw(), draw()].flatMap((peer) => peer ?? []) : [];
  const best = drawn.sort((left, right) => expected(left) - expected(right))[0];
  const limit = remainingMs * usablePart;
  if (best && expected(best) < waitMs * handOverGain && expected(best) <= limit) {
    const reason = `peer expects ${Math.round(expected(best))} ms, this process ${Math.round(waitMs)} ms`;
    return { action: 'hand-over', peer: best.id, reason };
  }
  if (waitMs <= limit) {
    return { action: 'wait', reason: `expected to start in ${Math.round(waitMs)} ms` };
  }
  return {
    action: 'shed',
    reason: `cannot start within the ${Math.round(remainingMs)} ms left`,
  };
}
