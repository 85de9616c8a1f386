/**
 * Dependencies and options of the ownership task.
 */
import type { Clock } from '../clock/mod.ts';
import type { LimitsTask, Units } from '../limits/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { Table, Writer } from '../table/mod.ts';
import type { Workers } from '../workers/mod.ts';
import type { Ownership } from './ownership.ts';
import type { OwnershipRules } from './plan.ts';

/** The limit units that tasks on an owned worker use, as counted by this process. */
export interface WorkerUsage {
  units: Units;
  /** True while the outcome of a start request is unknown. */
  starting: boolean;
}

/** Dependencies and options of {@link makeOwnership}. */
export interface OwnershipOptions {
  writer: Writer;
  table: Table;
  workers: Workers;
  limits: Pick<
    LimitsTask,
    'addRunning' | 'move' | 'refresh' | 'park' | 'unpark' | 'releaseMember' | 'reset' | 'returnAll'
  >;
  membership: Membership;
  settings: Settings;
  clock: Clock;
  /** Returns what the tasks in the pool use on a worker. */
  getUsage: (worker: string) => WorkerUsage;
  /**
   * Time for which the address has been missing from the host list; undefined while it is listed
   * or the list could not be read.
   */
  getHostAbsenceMs?: (address: string) => number | undefined;
  log?: Logger;
  rules?: OwnershipRules;
}

/** Ownership together with the loop that maintains it. */
export interface OwnershipTask extends Ownership {
  run(signal: AbortSignal): Promise<void>;
}
