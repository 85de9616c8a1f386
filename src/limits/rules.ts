/**
 * The options and the interface of the limits task, and its safety rules. The rules are
 * replaceable, so that a test can show what breaks without each.
 */
import type { Clock } from '../clock/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { Mutation, Table, Writer } from '../table/mod.ts';
import { borrowUnits, moveUnits } from './allotments.ts';
import type { Limits } from './limits.ts';

/** Number of units by team. */
export type Units = Record<string, number>;

/** Units that move from one member to another. */
export interface UnitMove {
  from: string[];
  to: string;
  units: Units;
}

/** Safety rules that a mutation test can replace. */
export interface LimitsRules {
  borrow: typeof borrowUnits;
  /** Whether a decrease is recorded in the ledger before it is written to the table. */
  shouldDecreaseBeforeWrite: boolean;
  move: typeof moveUnits;
}

/** The rules that production code uses. */
export const limitsRules: LimitsRules = {
  borrow: borrowUnits,
  shouldDecreaseBeforeWrite: true,
  move: moveUnits,
};

/** Options of `makeLimits`. */
export interface LimitsOptions {
  writer: Writer;
  table: Pick<Table, 'read' | 'scan'>;
  settings: Settings;
  clock: Clock;
  invariants: InvariantChecker;
  /** Returns the current member id of this process and the number of members. */
  member: () => { id: string; members: number };
  log?: Logger;
  rules?: LimitsRules;
}

/** Limits with the functions that the ownership of workers needs. */
export interface LimitsTask extends Limits {
  run(signal: AbortSignal): Promise<void>;
  /** Reads the rows of teams; `after` runs synchronously with the update of the ledger. */
  refresh(teams: string[], after?: () => void): Outcome<void>;
  /**
   * Moves units in one transaction with the caller's writes. `after` runs synchronously with the
   * update of the ledger.
   */
  move(
    moves: UnitMove[],
    options: { mutation: Mutation; after: (versions: Record<string, number>) => void },
  ): Outcome<void>;
  /** Keeps the units of a worker's tasks out of use until the worker's new owner has moved them. */
  park(worker: string, units: Units): void;
  unpark(worker: string): void;
  /** Frees all units of a departed member whose workers are all settled. */
  releaseMember(member: string, mutation: Mutation): Outcome<void>;
  /** Returns all units that are not in use. */
  returnAll(): Promise<void>;
  /** Clears all state after an expulsion, because the units belong to the former member id. */
  reset(): void;
}
