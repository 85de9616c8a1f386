/**
 * The interface of the platform's object store.
 */
import type { Outcome } from '../errors/mod.ts';

/** A client of the object store. */
export interface Objects {
  /** Creates or replaces an object. */
  put(name: string, bytes: Uint8Array): Outcome<void>;
  /** Returns the content of an object; undefined when it does not exist. */
  get(name: string): Outcome<Uint8Array | undefined>;
  remove(name: string): Outcome<void>;
}
