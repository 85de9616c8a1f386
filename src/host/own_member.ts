/**
 * The row of this process among the entry processes.
 */
import { randomBytes } from 'node:crypto';

import type { Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';

/** The row. */
export interface OwnMember {
  /** The row as the process began. */
  first: Member;
  /** The row while so many clients are connected. */
  now(clients: number): Member;
}

const instanceBytes = 4;
/** A rolling restart of all hosts is over after this time. */
const justRestartedMs = 60_000;

/**
 * Makes the row.
 *
 * @example
 * const { first: self } = makeOwnMember(settings, systemClock);
 */
export function makeOwnMember(settings: ProcessSettings, clock: Clock): OwnMember {
  const startedAtMs = clock.now();
  const isJustRestarted = () =>
    !settings.isFirstStart && clock.now() - startedAtMs < justRestartedMs;
  const first: Member = {
    name: settings.name,
    instance: randomBytes(instanceBytes).toString('hex'),
    address: `${settings.ip}:${settings.peerPort}`,
    dataCentre: settings.dataCentre,
    processors: settings.processors,
    clients: 0,
    isJustRestarted: isJustRestarted(),
  };
  return {
    first,
    now: (clients) => ({ ...first, clients, isJustRestarted: isJustRestarted() }),
  };
}
