/**
 * Tickets: permissions to run a step on a worker, which the platform's advice service gives.
 */
import type { Outcome } from '../errors/mod.ts';

/** A call for tickets. */
export interface AdviceRequest {
  step: string;
  /** Ids of the workers in question. */
  workers: string[];
  timeoutMs: number;
}

/** The workers that may run a step, each with its ticket. */
export interface GrantedTickets {
  tickets: [worker: string, ticket: string][];
  /** Time for which the tickets are valid; 0 where the service does not say. */
  validityMs: number;
}

/** Asks which of the workers may run a step. */
export type Adviser = (question: AdviceRequest) => Outcome<GrantedTickets>;
