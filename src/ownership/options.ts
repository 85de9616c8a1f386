/**
 * What ownership is made of.
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

/** What the tasks on an owned worker use, as this process accounts them. */
export interface WorkerUsage {
  units: Units;
  /** True while the outcome of a start is open. */
  starting: boolean;
}

/** What ownership is made of. */
export interface OwnershipOptions {
  writer: Writer;
  table: Table;
  workers: Workers;
  limits: Pick<
    LimitsTask,
    'adopt' | 'move' | 'refresh' | 'park' | 'unpark' | 'forget' | 'reset' | 'returnAll'
  >;
  membership: Membership;
  settings: Settings;
  clock: Clock;
  /** What the pool has on a worker. */
  useOf: (worker: string) => WorkerUsage;
  /**
   * For how long the host list has not named the address; undefined while it does, or while the list
   * could not be read.
   */
  hostGoneMs?: (address: string) => number | undefined;
  log?: Logger;
  rules?: OwnershipRules;
}

/** Ownership together with its loop. */
export interface OwnershipTask extends Ownership {
  run(signal: AbortSignal): Promise<void>;
}
