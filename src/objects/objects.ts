/**
 * The functions through which the program meets the platform's object store.
 */
import type { Outcome } from '../errors/mod.ts';

/** A client of the object store. */
export interface Objects {
  put(name: string, bytes: Uint8Array): Outcome<void>;
  /** Undefined when there is no object of that name. */
  get(name: string): Outcome<Uint8Array | undefined>;
  remove(name: string): Outcome<void>;
}
