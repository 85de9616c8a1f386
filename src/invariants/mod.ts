/**
 * Checks the invariants of the system by name at run time.
 *
 * Every violation is counted and passed to an observer, which logs it. In tests the observer
 * throws, so that a run stops at the first violation.
 */

/** Names of the invariants; `docs/design.md` states the rule of each. */
export const Invariant = {
  Capacity: 'capacity',
  /** A task does not run on after its lease has expired, since it may run elsewhere. */
  SingleRun: 'single-run',
  /** Work of a team is accepted only with its key. */
  Key: 'key',
  TeamLimit: 'team-limit',
  DataCentre: 'data-centre',
  /** A response of a worker is for the task and attempt of the request. */
  WholeAnswer: 'whole-answer',
  /** A request reported as not run has not run. */
  NotRun: 'not-run',
  AtMostOnce: 'at-most-once',
  /** Nothing starts on an upstream that is leaving. */
  Leaving: 'leaving',
  /** No request in progress is cut off, also while the process drains. */
  Drain: 'drain',
  /** The version of the settings only increases. */
  Settings: 'settings',
  Starvation: 'starvation',
} as const;

/** Name of an invariant. */
export type Invariant = (typeof Invariant)[keyof typeof Invariant];

/** Checks conditions that must hold, and counts the checks. */
export interface InvariantChecker {
  check(name: Invariant, holds: boolean, detail: () => string): void;
  /** Returns how often each invariant was checked and violated. */
  counts(): Record<string, { checked: number; violated: number }>;
}

/** Called on each violation. */
export type ViolationObserver = (name: Invariant, detail: string) => void;

/**
 * Makes the invariant checker of a process.
 *
 * @example
 * const invariants = makeInvariantChecker({ onViolation: throwOnViolation });
 * invariants.check(Invariant.Capacity, used <= capacity, () => `w1 uses ${used} of ${capacity}`);
 */
export function makeInvariantChecker({
  onViolation,
}: {
  onViolation: ViolationObserver;
}): InvariantChecker {
  const counts: Record<string, { checked: number; violated: number }> = {};
  Object.values(Invariant).forEach((name) => {
    counts[name] = { checked: 0, violated: 0 };
  });
  return {
    check(name, holds, detail) {
      const count = counts[name];
      if (!count) return;
      count.checked += 1;
      if (holds) return;
      count.violated += 1;
      onViolation(name, detail());
    },
    counts: () => structuredClone(counts),
  };
}

/**
 * Throws on a violation. Tests use it as the observer, so that the first violation ends the run.
 *
 * @example
 * makeInvariantChecker({ onViolation: throwOnViolation });
 */
export function throwOnViolation(name: Invariant, detail: string): never {
  throw new Error(`invariant ${name} violated: ${detail}`);
}
