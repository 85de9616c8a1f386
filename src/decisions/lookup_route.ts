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
const maxHandOverRatio = 0.7;
// Part of the remaining time that an expected wait may use, because the estimate is uncertain.
const usableWaitFraction = 0.8;

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

  const estimateWaitMs = ({ waitMs: reportedMs, ageMs }: PeerReport) => {
    const weight = 0.5 ** (ageMs / reportHalfLifeMs);
    // Without a recent report a peer is taken to be half as busy as this process.
    const defaultWaitMs = Math.min(waitMs, remainingMs) / 2;
    return reportedMs * weight + defaultWaitMs * (1 - weight) + hopMs;
  };
  const drawPeer = () => peers[Math.floor(random() * peers.length)];
  const sampledPeers = state.mayHandOver
    ? [drawPeer(), drawPeer()].flatMap((peer) => peer ?? [])
    : [];
  const best = sampledPeers.sort((left, right) => estimateWaitMs(left) - estimateWaitMs(right))[0];
  const maxWaitMs = remainingMs * usableWaitFraction;
  if (
    best &&
    estimateWaitMs(best) < waitMs * maxHandOverRatio &&
    estimateWaitMs(best) <= maxWaitMs
  ) {
    const reason = `peer expects ${Math.round(estimateWaitMs(best))} ms, this process ${Math.round(waitMs)} ms`;
    return { action: 'hand-over', peer: best.id, reason };
  }
  if (waitMs <= maxWaitMs) {
    return { action: 'wait', reason: `expected to start in ${Math.round(waitMs)} ms` };
  }
  return {
    action: 'shed',
    reason: `cannot start within the ${Math.round(remainingMs)} ms left`,
  };
}
