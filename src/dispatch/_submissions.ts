/**
 * Submitted jobs: accepted here, or handed over once to a peer when this process owns no partition.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { pickIndex } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { partitionCount } from '../ownership/mod.ts';
import type { Job, JobRequest, SubmitQuestion } from '../schema/mod.ts';
import { earlierJob, makeJob } from './_job_requests.ts';
import { memberOf, schedule } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import type { Caller } from './dispatch.ts';

interface Submission {
  caller: Caller;
  request: JobRequest;
}

const maxPeers = 3;

// The peer did not write the job, and another one may.
const elsewhere: ReadonlySet<string> = new Set([
  ErrorKind.PeerUnavailable,
  ErrorKind.NotOwner,
  ErrorKind.NotFresh,
  ErrorKind.Draining,
]);

/** Members that own partitions, in an order that begins with a random one. */
function partitionOwners({ ownership, membership, random }: JobsState): string[] {
  const { members } = membership.view();
  const draining = new Set(members.filter((one) => one.draining).map(({ id }) => id));
  const all = Array.from(
    { length: partitionCount },
    (_, partition) => ownership.ownerOfPartition(partition) ?? '',
  );
  const owners = [...new Set(all)]
    .filter((id) => id !== '' && id !== membership.id() && !draining.has(id))
    .sort();
  const first = pickIndex(random, owners.length);
  return [...owners.slice(first), ...owners.slice(0, first)];
}

/**
 * Hands a submission over. After a lost answer it is sent to another peer only with a request id,
 * under which one job is made at most.
 */
async function handOver(state: JobsState, { caller, request }: Submission): Outcome<Job> {
  const { team, queue, request: id } = caller;
  let unknown: Failure | undefined;
  let refused = makeFailure(ErrorKind.NotOwner, 'no peer with job partitions was reached');
  for (const owner of partitionOwners(state).slice(0, maxPeers)) {
    const member = memberOf(state, owner);
    if (!member) continue;
    const answer: Either<Failure, Job> = await member.submit({
      ...{ team, queue, job: request, settings: state.settings.current().version },
      ...(id === undefined ? {} : { request: id }),
    });
    const failed = answer.swap().toMaybe().extract();
    if (!failed) return answer;
    if (failed.kind === ErrorKind.OutcomeUnknown) {
      unknown = failed;
      if (id === undefined) break;
    } else if (elsewhere.has(failed.kind)) {
      refused = failed;
    } else {
      return Left(unknown ?? failed);
    }
  }
  return Left(unknown ?? refused);
}

async function acceptHere(state: JobsState, { job, id }: { job: Job; id?: string }): Outcome<Job> {
  const key = id === undefined ? undefined : `requests/${job.team}/${id}`;
  const created = await state.rows.create(job, key);
  const failed = created.swap().toMaybe().extract();
  if (failed?.kind === ErrorKind.TableConflict && key !== undefined) {
    return earlierJob(state, { key, job });
  }
  created.ifRight((accepted) => schedule(state, accepted));
  return created;
}

/** Accepts a job of a caller. */
export async function submit(
  state: JobsState,
  { caller, request, handed = false }: Submission & { handed?: boolean },
): Outcome<Job> {
  const made = makeJob(state, { caller, request });
  const job = made.toMaybe().extract();
  const { request: id } = caller;
  if (job) return acceptHere(state, { job, ...(id === undefined ? {} : { id }) });
  const isForPeer = made.swap().toMaybe().extract()?.kind === ErrorKind.NotOwner && !handed;
  return isForPeer ? handOver(state, { caller, request }) : made;
}

/** Accepts a job that a peer hands over; it is not handed on. */
export async function submitHanded(state: JobsState, question: SubmitQuestion): Outcome<Job> {
  const { team, queue, request: id, job, settings } = question;
  const { version } = state.settings.current();
  if (settings > version) {
    return Left(
      makeFailure(ErrorKind.NotFresh, 'this process has older settings', { got: version }),
    );
  }
  const caller = { team, queue, ...(id === undefined ? {} : { request: id }) };
  return submit(state, { caller, request: job, handed: true });
}
