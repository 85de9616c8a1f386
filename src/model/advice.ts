/**
 * Tickets: permissions to run a step on a worker, granted by the platform's advice service.
 */
import type { Outcome } from '../errors/mod.ts';

/** A request for tickets to run a step on any of the listed workers. */
export interface AdviceRequest {
  step: string;
  /** Ids of the candidate workers. */
  workers: string[];
  timeoutMs: number;
}

/** Workers that may run a step, each with its ticket. */
export interface GrantedTickets {
  tickets: [worker: string, ticket: string][];
  /** Validity period of the tickets; 0 if the service did not specify one. */
  validityMs: number;
}

/** Requests tickets from the advice service. */
export type Adviser = (request: AdviceRequest) => Outcome<GrantedTickets>;
