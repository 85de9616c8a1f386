/**
 * A bound on how long a promise is waited for.
 */
import type { Clock } from './clock.ts';

/**
 * Waits for a promise, but at most for the time; resolves with undefined when the time is over.
 *
 * @example
 * const answer = await withTimeout(peer.fresh(question), { clock, ms: 200 });
 */
export async function withTimeout<T>(
  promise: Promise<T>,
  { clock, ms }: { clock: Clock; ms: number },
): Promise<T | undefined> {
  const stop = new AbortController();
  try {
    return await Promise.race([promise, clock.sleep(ms, stop.signal).then(() => undefined)]);
  } finally {
    stop.abort();
  }
}
