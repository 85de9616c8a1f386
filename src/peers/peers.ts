/**
 * The messages between entry processes. The same interface is implemented by the client of a peer
 * and by the handlers that answer peers.
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

/** Limits on one call. */
export interface CallOptions {
  timeoutMs?: number;
  signal?: AbortSignal;
}

/**
 * What one entry process can ask of another. A call fails with `peer-unavailable` when the peer
 * certainly did not get it, with `outcome-unknown` when it may have, or with the peer's own failure.
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

/** Gives the client of a member; connections are kept and shared. */
export type Peers = (member: Pick<Member, 'id' | 'address' | 'port'>) => Peer;
