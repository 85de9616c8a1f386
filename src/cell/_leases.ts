/**
 * How long a scheduler renews leases, and how long its successor waits for those that it cannot see.
 *
 * A scheduler without the store may have a successor, which waits for the leases at each worker that it
 * cannot reach. The time without the store is therefore short, and the leases cover the rest of an outage.
 */
import { maxCallDelayMs, maxClockDriftFactor, maxOrderTimeoutMs } from './worker_link.ts';

const normalLeaseMs = 4_500;
/** A store without a commit for this long may have an outage. */
const suspectedOutageMs = 1_000;
/** A scheduler that cannot reach the store stops renewing leases after this time. */
export const maxRenewalWithoutStoreMs = 3_000;

/** Returns the duration of the leases to request, from the time since the last commit. */
export function chooseLeaseMs(sinceCommitMs: number, maxLeaseMs: number): number {
  return sinceCommitMs > suspectedOutageMs ? maxLeaseMs : Math.min(normalLeaseMs, maxLeaseMs);
}

/** Whether leases may be renewed, from the time since the last commit. */
export function mayRenewLeases(sinceCommitMs: number): boolean {
  return sinceCommitMs < maxRenewalWithoutStoreMs;
}

/** Returns how long after a claim predecessors may send orders; those sent just before it count as well. */
function getLastPredecessorOrderMs(predecessorMayAct: boolean): number {
  return predecessorMayAct ? maxRenewalWithoutStoreMs : maxOrderTimeoutMs;
}

/** Returns how long after a claim workers may carry out start orders of predecessors. */
export function getMaxPredecessorOrderMs(predecessorMayAct: boolean): number {
  return getLastPredecessorOrderMs(predecessorMayAct) + maxCallDelayMs;
}

/**
 * Returns how long the leases from predecessors may last after a claim.
 *
 * @example
 * const endAtMs = claimedAtMs + getMaxPredecessorLeaseMs({ maxLeaseMs, predecessorMayAct: true });
 */
export function getMaxPredecessorLeaseMs({
  maxLeaseMs,
  predecessorMayAct,
}: {
  maxLeaseMs: number;
  predecessorMayAct: boolean;
}): number {
  return maxLeaseMs * maxClockDriftFactor + getLastPredecessorOrderMs(predecessorMayAct);
}
