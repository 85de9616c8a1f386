/**
 * Routing of lookups: start here, wait, hand over to a peer, or refuse early enough for the caller
 * to try elsewhere.
 */

/** The last known state of a peer, from responses to earlier hand-overs. */
export interface PeerReport {
  id: string;
  /** Time that a lookup waited there. */
  waitMs: number;
  /** Age of the report. */
  ageMs: number;
}

/** The input of the decision on one lookup. */
export interface LookupState {
  /** Remaining time until the lookup must start. */
  remainingMs: number;
  /** True when a worker of this process has free capacity. */
  hasFreeWorker: boolean;
  /** Number of lookups that wait here. */
  queued: number;
  /** Number of lookups that this process runs at once. */
  concurrentLookups: number;
  meanRunMs: number;
  /** False when the lookup was already handed over once. */
  mayHandOver: boolean;
  peers: PeerReport[];
  /** Time that a hand-over takes. */
  handOverDelayMs: number;
}

/** The decision on a lookup; `shed` refuses it. */
export interface LookupRoute {
  action: 'place' | 'wait' | 'hand-over' | 'shed';
  peer?: string;
  reason: string;
}

// Time in which the report of a peer loses half of its weight.
const reportHalfLifeMs = 2_000;
// A peer must expect a wait below this fraction of the own wait, so that two processes do not keep
// handing lookups to each other.
const maxHandOverRatio = 0.7;
// Fraction of the remaining time that an expected wait may take, because the estimate is uncertain.
const usableWaitFraction = 0.8;

/**
 * Decides how to route a lookup. It compares two random peers, so that outdated reports do not make
 * all processes choose the same peer.
 *
 * @example
 * routeLookup(state, random).action;
 */
export function routeLookup(state: LookupState, random: () => number): LookupRoute {
  const {
    remainingMs,
    queued,
    concurrentLookups: places,
    meanRunMs,
    peers,
    handOverDelayMs: hopMs,
  } = state;
  if (state.hasFreeWorker) return { action: 'place', reason: 'a worker has free capacity' };
  const waitMs = places > 0 ? ((queued + 1) * meanRunMs) / places : Infinity;

  const estimateWaitMs = ({ waitMs: reportedMs, ageMs }: PeerReport) => {
    const weight = 0.5 ** (ageMs / reportHalfLifeMs);
    // Without a recent report, assumes half the wait of this process.
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
