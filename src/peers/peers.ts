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
  /** Confirms settings and membership for a process that cannot reach the table service. */
  fresh(request: FreshQuestion, options?: CallOptions): Outcome<FreshAnswer>;
  /** Runs a lookup, which the peer does not hand over again. */
  lookup(request: HandedLookup, options?: CallOptions): Outcome<LookupAnswer>;
  /** Claims a caller's request id for one execution, or withdraws the claim. */
  witness(request: WitnessQuestion, options?: CallOptions): Outcome<WitnessAnswer>;
  /** Returns the former member views of the last 60 s that the peer knows. */
  views(request: ViewsQuestion, options?: CallOptions): Outcome<ViewsAnswer>;
  /** Submits a job through a process that owns job partitions. */
  submit(request: SubmitQuestion, options?: CallOptions): Outcome<Job>;
  /** Reserves free capacity and limit units for tasks of a job. */
  hold(request: HoldQuestion, options?: CallOptions): Outcome<HoldAnswer>;
  /** Starts the tasks of a hold. */
  commit(request: CommitQuestion, options?: CallOptions): Outcome<CommitAnswer>;
  /** Releases a hold. */
  release(request: ReleaseQuestion, options?: CallOptions): Outcome<void>;
  /** Stops tasks on a worker of the peer, or cancels jobs of its partitions. */
  stop(request: StopQuestion, options?: CallOptions): Outcome<void>;
  /** Reports ended tasks to the owner of the job's partition. */
  ended(request: EndedQuestion, options?: CallOptions): Outcome<EndedAnswer>;
  /** Returns what the owner of a worker knows about an attempt. */
  attempt(request: AttemptQuestion, options?: CallOptions): Outcome<AttemptAnswer>;
  /** Returns the settings changes after a version. */
  changes(request: ChangesQuestion, options?: CallOptions): Outcome<Change[]>;
  /** Returns one section of the state of the process, or all of them. */
  status(request: { section?: string }, options?: CallOptions): Outcome<unknown>;
}

/** Returns the client of a member; connections are persistent and shared. */
export type Peers = (member: Pick<Member, 'id' | 'address' | 'port'>) => Peer;
