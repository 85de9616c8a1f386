/**
 * The settings that a process has in force.
 */
import type { Either } from 'purify-ts';

import type { Failure, Outcome } from '../errors/mod.ts';
import type { Change } from '../schema/mod.ts';
import type { Fleet } from './fleet.ts';

/** Holds the settings in force; versions only ever grow. */
export interface Settings {
  current(): Fleet;
  /** Applies changes in version order; a change at or below the version in force is ignored. */
  apply(changes: Change[]): Either<Failure, Fleet>;
  /** Reads the whole tree from the table service; used once, when the process starts. */
  load(): Outcome<Fleet>;
  /** Reads and applies the changes up to the version. */
  catchUp(version: number): Outcome<Fleet>;
  /** Changes after the version, from memory, for peers that cannot reach the table service. */
  after(version: number): Change[];
  subscribe(observer: (fleet: Fleet) => void): void;
}
