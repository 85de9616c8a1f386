/**
 * Submission of jobs: accepted locally, or forwarded once to a peer when this process owns no
 * partition.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { pickIndex } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { partitionCount } from '../ownership/mod.ts';
import type { Job, JobRequest, SubmitQuestion } from '../schema/mod.ts';
import { findEarlierJob, makeJob } from './_job_requests.ts';
import { findPeer, updateWaitingWork } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import type { Caller } from './dispatch.ts';

interface Submission {
  caller: Caller;
  request: JobRequest;
}

const maxForwardPeers = 3;

// With these failures the peer has not stored the job, and another peer may accept it.
const retryableKinds: ReadonlySet<string> = new Set([
  ErrorKind.PeerUnavailable,
  ErrorKind.NotOwner,
  ErrorKind.NotFresh,
  ErrorKind.Draining,
]);

/** Lists the other members that own partitions, sorted and rotated to start at a random one. */
function listPartitionOwners({ ownership, membership, random }: JobsState): string[] {
  const { members } = membership.view();
  const draining = new Set(members.filter((one) => one.draining).map(({ id }) => id));
  const ownersByPartition = Array.from(
    { length: partitionCount },
    (_, partition) => ownership.ownerOfPartition(partition) ?? '',
  );
  const owners = [...new Set(ownersByPartition)]
    .filter((id) => id !== '' && id !== membership.id() && !draining.has(id))
    .sort();
  const firstIndex = pickIndex(random, owners.length);
  return [...owners.slice(firstIndex), ...owners.slice(0, firstIndex)];
}

/**
 * Forwards a submission to a peer. After an unknown outcome, another peer is tried only with a
 * request id, because at most one job is created per request id.
 */
async function forwardToPeer(state: JobsState, { caller, request }: Submission): Outcome<Job> {
  const { team, queue, request: id } = caller;
  let unknownOutcome: Failure | undefined;
  let refusal = makeFailure(ErrorKind.NotOwner, 'no peer with job partitions was reached');
  for (const owner of listPartitionOwners(state).slice(0, maxForwardPeers)) {
    const member = findPeer(state, owner);
    if (!member) continue;
    const response: Either<Failure, Job> = await member.submit({
      ...{ team, queue, job: request, settings: state.settings.current().version },
      ...(id === undefined ? {} : { request: id }),
    });
    const failure = response.swap().toMaybe().extract();
    if (!failure) return response;
    if (failure.kind === ErrorKind.OutcomeUnknown) {
      unknownOutcome = failure;
      if (id === undefined) break;
    } else if (retryableKinds.has(failure.kind)) {
      refusal = failure;
    } else {
      return Left(unknownOutcome ?? failure);
    }
  }
  return Left(unknownOutcome ?? refusal);
}

async function acceptLocally(
  state: JobsState,
  { job, id }: { job: Job; id?: string },
): Outcome<Job> {
  const key = id === undefined ? undefined : `requests/${job.team}/${id}`;
  const created = await state.rows.create(job, key);
  const failure = created.swap().toMaybe().extract();
  if (failure?.kind === ErrorKind.TableConflict && key !== undefined) {
    return findEarlierJob(state, { key, job });
  }
  created.ifRight((accepted) => updateWaitingWork(state, accepted));
  return created;
}

/** Accepts a caller's job locally or forwards it to a peer. */
export async function submit(
  state: JobsState,
  { caller, request, isForwarded = false }: Submission & { isForwarded?: boolean },
): Outcome<Job> {
  const checked = makeJob(state, { caller, request });
  const job = checked.toMaybe().extract();
  const { request: id } = caller;
  if (job) return acceptLocally(state, { job, ...(id === undefined ? {} : { id }) });
  const shouldForward =
    checked.swap().toMaybe().extract()?.kind === ErrorKind.NotOwner && !isForwarded;
  return shouldForward ? forwardToPeer(state, { caller, request }) : checked;
}

/** Accepts a job that a peer has forwarded. It is not forwarded again. */
export async function submitForwarded(state: JobsState, request: SubmitQuestion): Outcome<Job> {
  const { team, queue, request: id, job, settings } = request;
  const { version } = state.settings.current();
  if (settings > version) {
    return Left(
      makeFailure(ErrorKind.NotFresh, 'this process has older settings', { got: version }),
    );
  }
  const caller = { team, queue, ...(id === undefined ? {} : { request: id }) };
  return submit(state, { caller, request: job, isForwarded: true });
}
