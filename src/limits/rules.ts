/**
 * What limits are made of, what ownership needs of them, and their safety rules as functions, so that
 * a test can show what breaks without each.
 */
import type { Clock } from '../clock/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { Mutation, Table, Writer } from '../table/mod.ts';
import { borrowUnits, moveUnits } from './allotments.ts';
import type { Limits } from './limits.ts';

/** Units of several teams. */
export type Units = Record<string, number>;

/** Units that move from one member to another. */
export interface UnitMove {
  from: string[];
  to: string;
  units: Units;
}

/** Rules that a mutation test can replace. */
export interface LimitsRules {
  borrow: typeof borrowUnits;
  /** Whether a decrease is noted before it is written. */
  shouldDecreaseBeforeWrite: boolean;
  move: typeof moveUnits;
}

/** The rules in force. */
export const limitsRules: LimitsRules = {
  borrow: borrowUnits,
  shouldDecreaseBeforeWrite: true,
  move: moveUnits,
};

/** What limits are made of. */
export interface LimitsOptions {
  writer: Writer;
  table: Pick<Table, 'read' | 'scan'>;
  settings: Settings;
  clock: Clock;
  invariants: InvariantChecker;
  /** Present member id of this process, and how many members there are. */
  member: () => { id: string; members: number };
  log?: Logger;
  rules?: LimitsRules;
}

/** Limits together with what ownership needs of them. */
export interface LimitsTask extends Limits {
  run(signal: AbortSignal): Promise<void>;
  /** Reads the rows of teams; `after` runs in the same turn as the new figures. */
  refresh(teams: string[], after?: () => void): Outcome<void>;
  /**
   * Moves units together with the writes of the caller. `after` runs in the same turn in which the
   * new figures become visible here.
   */
  move(
    moves: UnitMove[],
    options: { mutation: Mutation; after: (versions: Record<string, number>) => void },
  ): Outcome<void>;
  /** Keeps units of a worker's tasks out of use until its new owner has moved them. */
  park(worker: string, units: Units): void;
  unpark(worker: string): void;
  /** Frees all units of a member that has gone and whose workers are all settled. */
  forget(member: string, mutation: Mutation): Outcome<void>;
  /** Returns every unit that is not in use. */
  returnAll(): Promise<void>;
  /** Forgets everything after an expulsion: the units belong to the id that is gone. */
  reset(): void;
}
