/**
 * How old the heartbeat of a scheduler may become before it is taken to have stopped.
 */

/** The scheduler writes its heartbeat so often. */
export const heartbeatIntervalMs = 650;
const heartbeatTimeoutMs = 1_900;
/** Bound for a scheduler that other calls find silent or without the store. */
const unresponsiveTimeoutMs = 900;
const maxExtensionMs = 1_000;

/** What is known of the heartbeats of a scheduler. */
export interface HeartbeatAge {
  /** Time since the last one was seen, or since the scheduler has claimed. */
  ageMs: number;
  /** Time between the last two; 0 before the second. */
  lastIntervalMs: number;
  /** Whether other calls find the scheduler silent. */
  isUnresponsive: boolean;
}

/**
 * Whether the heartbeat has stopped. A slow store delays the heartbeats of a scheduler that works: where
 * the last one came late, the next may do so too.
 *
 * @example
 * hasStopped({ ageMs: 1_000, gapMs: 650, isSilent: true }); // true
 */
export function hasHeartbeatStopped({
  ageMs,
  lastIntervalMs,
  isUnresponsive,
}: HeartbeatAge): boolean {
  const extensionMs = Math.min(maxExtensionMs, Math.max(0, lastIntervalMs - heartbeatIntervalMs));
  return ageMs > (isUnresponsive ? unresponsiveTimeoutMs : heartbeatTimeoutMs) + extensionMs;
}
