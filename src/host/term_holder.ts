/**
 * Holds the scheduler's term of this process, if it has one.
 */
import type { SchedulerService, SchedulerTerm, WonClaim } from '../cell/mod.ts';
import type { Logger } from '../logs/mod.ts';

/** The scheduler's term of this process. */
export interface TermHolder {
  /** Begins the term of a claim; a term that has not ended yet is stopped. */
  begin(won: WonClaim): void;
  stop(): void;
  /** The service of the term; undefined without one. */
  service(): SchedulerService | undefined;
  /** Whether there is a term that has served for a while. */
  isCalm(): boolean;
}

/**
 * Makes a holder without a term.
 *
 * @example
 * const termHolder = makeTermHolder({ log, makeTerm });
 */
export function makeTermHolder(options: {
  log: Logger;
  makeTerm(won: WonClaim, onEnded: () => void): SchedulerTerm;
}): TermHolder {
  const { log, makeTerm } = options;
  let term: SchedulerTerm | undefined;
  return {
    begin(won) {
      term?.stop();
      const newTerm = makeTerm(won, () => {
        if (term === newTerm) term = undefined;
      });
      term = newTerm;
      newTerm.run().catch((error: unknown) => {
        log.error('scheduler term failed', { event: 'scheduler-failed', reason: String(error) });
        newTerm.stop();
      });
    },
    stop: () => term?.stop(),
    service: () => term?.service,
    isCalm: () => term?.isCalm() === true,
  };
}
