/**
 * Waiting for a promise with a timeout.
 */
import type { Clock } from './clock.ts';

/**
 * Waits for a promise, but at most for the given time; resolves with undefined on timeout.
 *
 * @example
 * const response = await withTimeout(peer.fresh(request), { clock, ms: 200 });
 */
export async function withTimeout<T>(
  promise: Promise<T>,
  { clock, ms }: { clock: Clock; ms: number },
): Promise<T | undefined> {
  const controller = new AbortController();
  try {
    return await Promise.race([promise, clock.sleep(ms, controller.signal).then(() => undefined)]);
  } finally {
    controller.abort();
  }
}
