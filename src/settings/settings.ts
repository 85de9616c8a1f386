/**
 * The interface to the current settings of a process.
 */
import type { Either } from 'purify-ts';

import type { Failure, Outcome } from '../errors/mod.ts';
import type { Change } from '../schema/mod.ts';
import type { Fleet } from './fleet.ts';

/** Current settings of a process; the version never decreases. */
export interface Settings {
  current(): Fleet;
  /** Applies changes in version order; changes at or below the current version are ignored. */
  apply(changes: Change[]): Either<Failure, Fleet>;
  /** Reads the whole tree from the table service; used at start and when a change is missing. */
  load(): Outcome<Fleet>;
  /** Reads changes from the table service and applies them up to `version`. */
  catchUp(version: number): Outcome<Fleet>;
  /**
   * Returns the changes after `version` from memory, for peers that cannot reach the table service;
   * empty if the oldest of them is no longer in memory.
   */
  after(version: number): Change[];
  subscribe(observer: (fleet: Fleet) => void): void;
}
