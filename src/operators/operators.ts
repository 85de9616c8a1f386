/**
 * The operators' interface of one process.
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
import type { Verifier } from '../keys/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import type { Job } from '../schema/mod.ts';
import type { CommitParts } from '../settings/mod.ts';
import { makeSettingsRoutes } from './_settings_routes.ts';
import type { Identify } from './_settings_routes.ts';

/** The parts that the operators' interface uses. */
export interface OperatorsOptions {
  address: string;
  port: number;
  parts: CommitParts;
  dispatch: Dispatch;
  verifier: Verifier;
  /** Fails while the process is draining or not fresh; decides readiness. */
  gate: () => Either<Failure, void>;
  /** State of this process. */
  dump: () => unknown;
  /** Ids of the other members. */
  members: () => string[];
  /**
   * State of another member through the peers' `status` call. The section `jobs` answers the jobs
   * that the member knows, `explain/{id}` its explanation of a job or lookup, if it has one.
   */
  status: (member: string, section?: string) => Outcome<unknown>;
  clock: Clock;
  invariants: InvariantChecker;
  metrics: Metrics;
  log: Logger;
}

// A tree of 180 teams, 540 queues and 1,120 upstreams was 0.17 MB as JSON; the first change sends all.
const bounds = {
  maxBodyBytes: 16 * 1_048_576,
  maxHeaderBytes: 8_192,
  maxConnections: 500,
  maxWaitingRequests: 100,
};
const health = ['/healthz', '/readyz'];

const identify: Identify = async (exchange, verifier) => {
  const [, key] = /^Bearer +(\S+) *$/i.exec(exchange.header('authorization') ?? '') ?? [];
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

const ok = (body: unknown) => Right({ status: 200, body });
const first = (value: string | string[] | undefined) => (Array.isArray(value) ? value[0] : value);

interface JobList {
  jobs: Omit<Job, 'body'>[];
  /** Members that did not answer; their jobs are missing. */
  missing: string[];
}

/** Jobs that this process and the other members know, each once. */
async function collectJobs(
  { dispatch, members, status }: OperatorsOptions,
  filter: { team?: string; state?: string },
): Promise<JobList> {
  const missing: string[] = [];
  const lists = await Promise.all(
    members().map(async (member) => {
      const answer = await status(member, 'jobs');
      return answer
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
  { dispatch, members, status }: OperatorsOptions,
  id: string,
): Outcome<Explanation> {
  const own = dispatch.explain(id);
  if (own) return Right(own);
  const answers = await Promise.all(members().map((member) => status(member, `explain/${id}`)));
  const found = answers.map((answer) => answer.toMaybe().extract()).find(Boolean);
  if (found) return Right(found as Explanation);
  const silent = answers.filter((answer) => answer.isLeft()).length;
  const message = 'no member knows of this id';
  return failWith(
    ErrorKind.NotFound,
    silent > 0 ? `${message}; ${silent} did not answer` : message,
    {
      got: id,
    },
  );
}

function makeJobRoutes(options: OperatorsOptions): Routes {
  const { dispatch, dump, members, status } = options;
  const cancel: Handler = async ({ params, query }) => {
    const id = params.id ?? '';
    const named = first(query.team);
    const team = named ?? (await collectJobs(options, {})).jobs.find((job) => job.id === id)?.team;
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
    const member = first(query.member);
    if (member === undefined) return ok(dump());
    if (!members().includes(member)) {
      const expected = `one of ${members().join(', ')}`;
      return failWith(ErrorKind.NotFound, 'there is no such other member', {
        got: member,
        expected,
      });
    }
    const state = await status(member);
    return state.map((body) => ({ status: 200, body }));
  };
  return {
    'GET /v1/jobs': async ({ query }) =>
      ok(await collectJobs(options, { team: first(query.team), state: first(query.state) })),
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
  const { parts, verifier, gate } = options;
  const guard =
    (handler: Handler): Handler =>
    async (exchange) => {
      const operator = await identify(exchange, verifier);
      return operator.isLeft() ? Left(operator.extract()) : handler(exchange);
    };
  const jobRoutes = Object.entries(makeJobRoutes(options)).map(
    ([route, handler]) => [route, guard(handler)] as const,
  );
  return makeServer({
    ...options,
    name: 'operators',
    bounds,
    always: health,
    routes: {
      'GET /healthz': () => Promise.resolve(ok({ healthy: true })),
      'GET /readyz': () =>
        Promise.resolve(gate().map(() => ({ status: 200, body: { ready: true } }))),
      ...makeSettingsRoutes({ parts, guard, identify, verifier }),
      ...Object.fromEntries(jobRoutes),
    },
  });
}
