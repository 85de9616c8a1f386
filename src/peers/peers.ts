/**
 * The interface for calls between entry processes. Both the client of a peer and the handlers that
 * respond to peers implement it.
 */
import type { Outcome } from '../errors/mod.ts';
import type {
  AttemptAnswer,
  AttemptQuestion,
  Change,
  ChangesQuestion,
  CommitAnswer,
  CommitQuestion,
  EndedAnswer,
  EndedQuestion,
  FreshAnswer,
  FreshQuestion,
  HandedLookup,
  HoldAnswer,
  HoldQuestion,
  Job,
  LookupAnswer,
  Member,
  ReleaseQuestion,
  StopQuestion,
  SubmitQuestion,
  ViewsAnswer,
  ViewsQuestion,
  WitnessAnswer,
  WitnessQuestion,
} from '../schema/mod.ts';

/** Timeout and cancellation of one call. */
export interface CallOptions {
  timeoutMs?: number;
  signal?: AbortSignal;
}

/**
 * The calls that an entry process serves to others. A call fails with `peer-unavailable` when the
 * peer certainly did not receive it, with `outcome-unknown` when it may have, or with the failure
 * that the peer responded.
 */
export interface Peer {
  fresh(request: FreshQuestion, options?: CallOptions): Outcome<FreshAnswer>;
  lookup(request: HandedLookup, options?: CallOptions): Outcome<LookupAnswer>;
  witness(request: WitnessQuestion, options?: CallOptions): Outcome<WitnessAnswer>;
  views(request: ViewsQuestion, options?: CallOptions): Outcome<ViewsAnswer>;
  submit(request: SubmitQuestion, options?: CallOptions): Outcome<Job>;
  hold(request: HoldQuestion, options?: CallOptions): Outcome<HoldAnswer>;
  commit(request: CommitQuestion, options?: CallOptions): Outcome<CommitAnswer>;
  release(request: ReleaseQuestion, options?: CallOptions): Outcome<void>;
  stop(request: StopQuestion, options?: CallOptions): Outcome<void>;
  ended(request: EndedQuestion, options?: CallOptions): Outcome<EndedAnswer>;
  attempt(request: AttemptQuestion, options?: CallOptions): Outcome<AttemptAnswer>;
  changes(request: ChangesQuestion, options?: CallOptions): Outcome<Change[]>;
  status(request: { section?: string }, options?: CallOptions): Outcome<unknown>;
}

/** Returns the client of a member; connections are persistent and shared. */
export type Peers = (member: Pick<Member, 'id' | 'address' | 'port'>) => Peer;
