/**
 * Detection of repeated caller request ids.
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

/** A caller's request id, and the lookup that claims it. */
export interface RequestClaim {
  team: string;
  request: string;
  /** Id of the lookup; it ends in `@` and the member that claims. */
  claimant: string;
}

/** What a claim resulted in; a repeat carries the first answer where it is still kept. */
export type ClaimResult = { verdict: 'first' } | { verdict: 'repeat'; answer?: LookupAnswer };

/** Claims request ids with witnesses, and is a witness itself. */
export interface Requests {
  /** Fails with `witness-unavailable` without a quorum, or while the former views are unknown. */
  claim(claim: RequestClaim): Outcome<ClaimResult>;
  /** Withdraws the claim of a lookup that certainly did not run, so that a repeat may run. */
  withdraw(claim: RequestClaim): void;
  /** Keeps the answer of a finished lookup for repeats. */
  finished(claim: RequestClaim, response: LookupAnswer): void;
  /** Answers a peer, or this process itself. */
  witness(question: WitnessQuestion): Either<Failure, WitnessAnswer>;
  /** Tells a peer that has joined which views came before it. */
  formerViews(question: ViewsQuestion): ViewsAnswer;
  dump(): unknown;
}
