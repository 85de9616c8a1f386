/**
 * The interface for the detection of repeated request ids.
 */
import type { Either } from 'purify-ts';

import type { Failure, Outcome } from '../errors/mod.ts';
import type {
  LookupAnswer,
  ViewsAnswer,
  ViewsQuestion,
  WitnessAnswer,
  WitnessQuestion,
} from '../schema/mod.ts';

/** A caller's request id and the lookup that claims it. */
export interface RequestClaim {
  team: string;
  request: string;
  /** Id of the lookup; it ends in `@` and the id of the claiming member. */
  claimant: string;
}

/** Result of a claim; a repeat contains the response of the first lookup if it is still kept. */
export type ClaimResult = { verdict: 'first' } | { verdict: 'repeat'; answer?: LookupAnswer };

/** Claims request ids with witnesses and acts as a witness. */
export interface Requests {
  /** Claims an id; fails with `witness-unavailable` without a quorum or known former views. */
  claim(claim: RequestClaim): Outcome<ClaimResult>;
  /** Withdraws the claim of a lookup that certainly did not run, so that a repeat may run. */
  withdraw(claim: RequestClaim): void;
  /** Keeps the response of a finished lookup for repeats. */
  storeResponse(claim: RequestClaim, response: LookupAnswer): void;
  /** Responds as a witness to a peer or to this process itself. */
  respondAsWitness(question: WitnessQuestion): Either<Failure, WitnessAnswer>;
  /** Returns the earlier views to a peer that has joined. */
  formerViews(question: ViewsQuestion): ViewsAnswer;
  dump(): unknown;
}
