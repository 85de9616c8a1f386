/**
 * Decides from the age of its last heartbeat that a scheduler has stopped.
 *
 * A scheduler that responds is slow rather than dead, and each replacement costs the time in which the
 * successor loads the cell. The timeouts are therefore longer for a scheduler that responds or still
 * loads, and after takeovers in quick succession.
 */

/** Interval at which the scheduler writes its heartbeat. */
export const heartbeatIntervalMs = 650;
/** Timeout for a scheduler that responds to pings and reaches the store. */
const responsiveTimeoutMs = 6_000;
/** Timeout for a scheduler that was reported as unresponsive or as unable to reach the store. */
const unresponsiveTimeoutMs = 900;
/** Factor of that timeout while the scheduler loads the cell, which blocks its event loop at times. */
const loadingFactor = 2;
const maxExtensionMs = 1_000;
const maxPatienceDoublings = 2;
/** A scheduler that has served for this long ends a series of short terms. */
const calmTermMs = 5_000;

/** What another process knows about the scheduler of the current claim. */
export interface SchedulerView {
  /** Time since the last heartbeat was seen, or since the scheduler claimed. */
  ageMs: number;
  /** Longest time between its last few heartbeats; 0 before the second. */
  longestIntervalMs: number;
  /** Whether the scheduler was reported as unresponsive. */
  isUnresponsive: boolean;
  /** Whether it has loaded the cell. */
  hasLoaded: boolean;
  /** Number of consecutive terms before this one that were ended by a takeover while short. */
  shortTerms: number;
}

/**
 * Whether the heartbeat has stopped. A slow store delays the heartbeats of a working scheduler, so the
 * timeout is extended when recent heartbeats came late.
 *
 * @example
 * hasHeartbeatStopped({
 *   ageMs: 1_000, longestIntervalMs: 650, isUnresponsive: true, hasLoaded: true, shortTerms: 0,
 * }); // true
 */
export function hasHeartbeatStopped({
  ageMs,
  longestIntervalMs,
  isUnresponsive,
  hasLoaded,
  shortTerms,
}: SchedulerView): boolean {
  const extensionMs = Math.min(
    maxExtensionMs,
    Math.max(0, longestIntervalMs - heartbeatIntervalMs),
  );
  const silentTimeoutMs = unresponsiveTimeoutMs * (hasLoaded ? 1 : loadingFactor);
  const timeoutMs = isUnresponsive ? silentTimeoutMs : responsiveTimeoutMs;
  return ageMs > timeoutMs * 2 ** Math.min(shortTerms, maxPatienceDoublings) + extensionMs;
}

/** Whether a scheduler that has been loaded for this long has served long enough to end the series. */
export function isCalmTerm(loadedForMs: number): boolean {
  return loadedForMs >= calmTermMs;
}
