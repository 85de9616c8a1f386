/**
 * The functions through which the program reads the platform's lagging list of hosts.
 */
import type { Outcome } from '../errors/mod.ts';

/** A host as the platform lists it; the list lags and is only a hint. */
export interface Host {
  address: string;
  state: 'live' | 'leaving';
}

/** A client of the host list. */
export interface Hosts {
  list(): Outcome<Host[]>;
}
