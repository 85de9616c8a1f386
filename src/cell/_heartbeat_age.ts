/**
 * Detects from the age of its last heartbeat that a scheduler has stopped.
 */

/** Interval at which the scheduler writes its heartbeat. */
export const heartbeatIntervalMs = 650;
const heartbeatTimeoutMs = 1_900;
/** Timeout for a scheduler that was reported as unresponsive or as unable to reach the store. */
const unresponsiveTimeoutMs = 900;
const maxExtensionMs = 1_000;

/** Times of a scheduler's last heartbeats, as another process sees them. */
export interface HeartbeatAge {
  /** Time since the last heartbeat was seen, or since the scheduler claimed. */
  ageMs: number;
  /** Time between the last two heartbeats; 0 before the second. */
  lastIntervalMs: number;
  /** Whether the scheduler was reported as unresponsive. */
  isUnresponsive: boolean;
}

/**
 * Whether the heartbeat has stopped. A slow store delays the heartbeats of a working scheduler, so the
 * timeout is extended when the last heartbeat came late.
 *
 * @example
 * hasHeartbeatStopped({ ageMs: 1_000, lastIntervalMs: 650, isUnresponsive: true }); // true
 */
export function hasHeartbeatStopped({
  ageMs,
  lastIntervalMs,
  isUnresponsive,
}: HeartbeatAge): boolean {
  const extensionMs = Math.min(maxExtensionMs, Math.max(0, lastIntervalMs - heartbeatIntervalMs));
  return ageMs > (isUnresponsive ? unresponsiveTimeoutMs : heartbeatTimeoutMs) + extensionMs;
}
