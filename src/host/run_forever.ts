/**
 * Keeps the background loops of a process running.
 */
import type { Clock } from '../clock/mod.ts';

const restartDelayMs = 500;

/**
 * Runs a loop until the signal aborts, and starts it again after an error.
 *
 * @example
 * runForever(membership.run, { clock, onError, signal });
 */
export async function runForever(
  loop: (signal: AbortSignal) => Promise<void>,
  options: { clock: Clock; onError(error: unknown): void; signal: AbortSignal },
): Promise<void> {
  const { clock, onError, signal } = options;
  while (!signal.aborted) {
    // A loop may consist of several that run at the same time; those that have not failed end with it.
    const attempt = new AbortController();
    try {
      await loop(AbortSignal.any([signal, attempt.signal]));
    } catch (error) {
      onError(error);
    }
    attempt.abort();
    await clock.sleep(restartDelayMs, signal);
  }
}
