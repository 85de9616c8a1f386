/**
 * The invariants of the system, asserted by name while it runs.
 *
 * A violation is always counted and logged. In tests the observer throws, so that a run stops at the
 * first one.
 */

/** The names of the invariants; `docs/design.md` gives the rule behind each. */
export const Invariant = {
  Capacity: 'capacity',
  SingleRun: 'single-run',
  Key: 'key',
  TeamLimit: 'team-limit',
  DataCentre: 'data-centre',
  WholeAnswer: 'whole-answer',
  NotRun: 'not-run',
  AtMostOnce: 'at-most-once',
  Leaving: 'leaving',
  Drain: 'drain',
  Settings: 'settings',
  Starvation: 'starvation',
} as const;

/** One of the values of {@link Invariant}. */
export type Invariant = (typeof Invariant)[keyof typeof Invariant];

/** Checks a condition that must hold. */
export interface InvariantChecker {
  check(name: Invariant, holds: boolean, detail: () => string): void;
  /** How often each invariant was checked and violated. */
  counts(): Record<string, { checked: number; violated: number }>;
}

/** Called on each violation. */
export type ViolationObserver = (name: Invariant, detail: string) => void;

/**
 * Makes the checker of a process.
 *
 * @example
 * const invariants = makeInvariantChecker({ onViolation: throwOnViolation });
 * invariants.check(Invariant.Capacity, used <= room, () => `worker w1 uses ${used} of ${room}`);
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
 * The observer that tests use: the first violation ends the run.
 *
 * @example
 * makeInvariantChecker({ onViolation: throwOnViolation });
 */
export function throwOnViolation(name: Invariant, detail: string): never {
  throw new Error(`invariant ${name} violated: ${detail}`);
}
