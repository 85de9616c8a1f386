/**
 * Options and interface of the membership task.
 */
import type { Clock, Random } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { Table } from '../table/mod.ts';
import type { Identity, MemberWriter } from './member_writer.ts';
import type { Membership } from './membership.ts';
import type { MembershipRules } from './rules.ts';

/** Options of `makeMembership`. */
export interface MembershipOptions {
  writer: MemberWriter;
  table: Table;
  peers: Peers;
  settings: Settings;
  clock: Clock;
  random: Random;
  /** Describes this process. Called for every join; returns a never-used id each time. */
  identify: () => Identity;
  /** Hands over everything that is owned; called while draining, before the row is deleted. */
  handOver?: () => Promise<void>;
  log?: Logger;
  rules?: MembershipRules;
}

/** Membership with its main loop. */
export interface MembershipTask extends Membership {
  /** Runs until the process has left or the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}
