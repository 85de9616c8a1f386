/**
 * The interface for reading the platform's list of hosts.
 */
import type { Outcome } from '../errors/mod.ts';

/** A host as listed by the platform. The list is updated late, so it is only a hint. */
export interface Host {
  address: string;
  state: 'live' | 'leaving';
}

/** A client of the host list. */
export interface Hosts {
  /** Reads the list. */
  list(): Outcome<Host[]>;
}
