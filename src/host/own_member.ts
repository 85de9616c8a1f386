/**
 * The member row of this process.
 */
import { randomBytes } from 'node:crypto';

import type { Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';

/** The member row of this process. */
export interface OwnMember {
  /** The row as of the start of the process. */
  initial: Member;
  /** The row at present, with the given number of client connections. */
  current(clients: number): Member;
}

const instanceIdBytes = 4;
/** A rolling restart of all hosts takes less than this. */
const restartWindowMs = 60_000;

/**
 * Makes the member row of this process.
 *
 * @example
 * const { initial: self } = makeOwnMember(settings, systemClock);
 */
export function makeOwnMember(settings: ProcessSettings, clock: Clock): OwnMember {
  const startedAtMs = clock.now();
  const isJustRestarted = () =>
    !settings.isFirstStart && clock.now() - startedAtMs < restartWindowMs;
  const initial: Member = {
    name: settings.name,
    instance: randomBytes(instanceIdBytes).toString('hex'),
    address: `${settings.ip}:${settings.peerPort}`,
    dataCentre: settings.dataCentre,
    processors: settings.processors,
    clients: 0,
    isJustRestarted: isJustRestarted(),
  };
  return {
    initial,
    current: (clients) => ({ ...initial, clients, isJustRestarted: isJustRestarted() }),
  };
}
