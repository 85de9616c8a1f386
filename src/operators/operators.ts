/**
 * The operators' HTTP interface of one entry process.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import type { Dispatch, Explanation } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { makeServer } from '../http/mod.ts';
import type { Handler, HttpInterface, Routes } from '../http/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { KeyVerifier } from '../keys/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import type { Job } from '../schema/mod.ts';
import type { CommitParts } from '../settings/mod.ts';
import { makeSettingsRoutes } from './_settings_routes.ts';
import type { OperatorResolver } from './_settings_routes.ts';

/** Options of {@link makeOperators}. */
export interface OperatorsOptions {
  address: string;
  port: number;
  parts: CommitParts;
  dispatch: Dispatch;
  verifier: KeyVerifier;
  /** Fails while the process is draining or not fresh; determines `/readyz`. */
  checkReady: () => Either<Failure, void>;
  /** Returns the state of this process. */
  dump: () => unknown;
  /** Returns the ids of the other members. */
  listOtherMembers: () => string[];
  /**
   * Fetches the state of another member through the peers' `status` call. The section `jobs` holds
   * the jobs known to the member, `explain/{id}` its explanation of a job or lookup, if any.
   */
  fetchMemberState: (member: string, section?: string) => Outcome<unknown>;
  clock: Clock;
  invariants: InvariantChecker;
  metrics: Metrics;
  log: Logger;
}

// Settings with 180 teams, 540 queues and 1,120 upstreams took 0.17 MB as JSON; the first change
// sends them all.
const bounds = {
  maxBodyBytes: 16 * 1_048_576,
  maxHeaderBytes: 8_192,
  maxConnections: 500,
  maxWaitingRequests: 100,
};
const healthPaths = ['/healthz', '/readyz'];

const identifyOperator: OperatorResolver = async (context, verifier) => {
  const [, key] = /^Bearer +(\S+) *$/i.exec(context.header('authorization') ?? '') ?? [];
  if (!key) {
    return failWith(ErrorKind.KeyMissing, 'the request has no operator key', {
      expected: 'the header "authorization: Bearer KEY"',
    });
  }
  const verified = await verifier.verify(key);
  return verified
    .mapLeft((cause) =>
      cause.kind === ErrorKind.KeyRejected
        ? { ...cause, kind: ErrorKind.OperatorRejected, message: `operator: ${cause.message}` }
        : cause,
    )
    .chain((holder) =>
      holder.owner === 'operator'
        ? Right(holder)
        : failWith(ErrorKind.OperatorRejected, 'a team key does not open the operators interface'),
    );
};

const makeOkResponse = (body: unknown) => Right({ status: 200, body });
const firstValue = (raw: string | string[] | undefined) => (Array.isArray(raw) ? raw[0] : raw);

interface JobList {
  jobs: Omit<Job, 'body'>[];
  /** Members that did not respond; the list lacks the jobs that only they know. */
  missing: string[];
}

/** Lists the jobs known to this process and the other members, without duplicates. */
async function collectJobs(
  { dispatch, listOtherMembers, fetchMemberState }: OperatorsOptions,
  filter: { team?: string; state?: string },
): Promise<JobList> {
  const missing: string[] = [];
  const lists = await Promise.all(
    listOtherMembers().map(async (member) => {
      const response = await fetchMemberState(member, 'jobs');
      return response
        .ifLeft(() => missing.push(member))
        .map((jobs) => (Array.isArray(jobs) ? (jobs as Job[]) : []))
        .orDefault([]);
    }),
  );
  const found = new Map<string, Omit<Job, 'body'>>();
  [...dispatch.jobs(filter), ...lists.flat()].forEach(({ body, ...job }) => {
    if (filter.team && job.team !== filter.team) return;
    if (filter.state && job.state !== filter.state) return;
    if (!found.has(job.id)) found.set(job.id, job);
  });
  const jobs = [...found.values()].sort((a, b) => a.submittedAt - b.submittedAt);
  return { jobs, missing };
}

async function explain(
  { dispatch, listOtherMembers, fetchMemberState }: OperatorsOptions,
  id: string,
): Outcome<Explanation> {
  const localExplanation = dispatch.explain(id);
  if (localExplanation) return Right(localExplanation);
  const responses = await Promise.all(
    listOtherMembers().map((member) => fetchMemberState(member, `explain/${id}`)),
  );
  const found = responses.map((response) => response.toMaybe().extract()).find(Boolean);
  if (found) return Right(found as Explanation);
  const failedCount = responses.filter((response) => response.isLeft()).length;
  const message = 'no member knows of this id';
  return failWith(
    ErrorKind.NotFound,
    failedCount > 0 ? `${message}; ${failedCount} did not answer` : message,
    {
      got: id,
    },
  );
}

function makeJobRoutes(options: OperatorsOptions): Routes {
  const { dispatch, dump, listOtherMembers, fetchMemberState } = options;
  const cancel: Handler = async ({ params, query }) => {
    const id = params.id ?? '';
    const requestedTeam = firstValue(query.team);
    const team =
      requestedTeam ?? (await collectJobs(options, {})).jobs.find((job) => job.id === id)?.team;
    if (!team) {
      const expected = 'the id of a job that has not ended long ago, or "?team=TEAM"';
      return failWith(ErrorKind.NotFound, 'no member knows of this job', { got: id, expected });
    }
    const job = await dispatch.cancel(team, id);
    return job.map(({ body, ...cancelled }) => ({ status: 200, body: cancelled }));
  };
  const showExplanation: Handler = async ({ params }) => {
    const explanation = await explain(options, params.id ?? '');
    return explanation.map((body) => ({ status: 200, body }));
  };
  const showState: Handler = async ({ query }) => {
    const member = firstValue(query.member);
    if (member === undefined) return makeOkResponse(dump());
    if (!listOtherMembers().includes(member)) {
      const expected = `one of ${listOtherMembers().join(', ')}`;
      return failWith(ErrorKind.NotFound, 'there is no such other member', {
        got: member,
        expected,
      });
    }
    const state = await fetchMemberState(member);
    return state.map((body) => ({ status: 200, body }));
  };
  return {
    'GET /v1/jobs': async ({ query }) =>
      makeOkResponse(
        await collectJobs(options, {
          team: firstValue(query.team),
          state: firstValue(query.state),
        }),
      ),
    'DELETE /v1/jobs/:id': cancel,
    'GET /v1/explain/:id': showExplanation,
    'GET /v1/state': showState,
  };
}

/**
 * Makes the operators' interface.
 *
 * @example
 * const operators = makeOperators({ ...parts, address: '127.0.0.1', port: 8081 });
 * await operators.listen();
 */
export function makeOperators(options: OperatorsOptions): HttpInterface {
  const { parts, verifier, checkReady } = options;
  const requireOperator =
    (handler: Handler): Handler =>
    async (context) => {
      const operator = await identifyOperator(context, verifier);
      return operator.isLeft() ? Left(operator.extract()) : handler(context);
    };
  const jobRoutes = Object.entries(makeJobRoutes(options)).map(
    ([route, handler]) => [route, requireOperator(handler)] as const,
  );
  return makeServer({
    ...options,
    name: 'operators',
    bounds,
    alwaysServedPaths: healthPaths,
    routes: {
      'GET /healthz': () => Promise.resolve(makeOkResponse({ healthy: true })),
      'GET /readyz': () =>
        Promise.resolve(checkReady().map(() => ({ status: 200, body: { ready: true } }))),
      ...makeSettingsRoutes({
        parts,
        requireOperator,
        identify: identifyOperator,
        verifier,
      }),
      ...Object.fromEntries(jobRoutes),
    },
  });
}
