/**
 * The routes of the callers' HTTP interface.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import type { Caller, Dispatch } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { makeServer } from '../http/mod.ts';
import type { Bounds, Handler, HttpInterface, JsonResponse, RequestContext } from '../http/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { KeyVerifier } from '../keys/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { Job, JobRequest, LookupRequest, WorkKind } from '../schema/mod.ts';
import type { Fleet, Queue } from '../settings/mod.ts';
import { authoriseQueue, identify } from './_access.ts';
import type { Identity } from './_access.ts';

/** Options of {@link makeCallers}. */
export interface CallersOptions {
  address: string;
  port: number;
  bounds: Bounds;
  dispatch: Dispatch;
  /** Fails with `not-fresh` or `draining` while this process must not accept work. */
  checkReady: () => Either<Failure, void>;
  fleet: () => Fleet;
  verifier: KeyVerifier;
  clock: Clock;
  invariants: InvariantChecker;
  metrics: Metrics;
  log: Logger;
}

const status = { ok: 200, accepted: 202 } as const;

function checkKind(kind: WorkKind, { name, kinds }: Queue): Either<Failure, void> {
  if (kinds.includes(kind)) return Right(undefined);
  const expected = `one of ${kinds.join(', ')}`;
  return failWith(ErrorKind.MalformedRequest, `queue ${name} does not take this kind of work`, {
    got: kind,
    expected,
  });
}

/** Removes the body of a job from a response, because the caller has sent it itself. */
function omitJobBody({ body, ...job }: Job): Omit<Job, 'body'> {
  return job;
}

/** Returns a failed result with the result type of the calling function. */
function castFailure<T>(result: Either<Failure, unknown>): Either<Failure, T> {
  return result as Either<Failure, T>;
}

/**
 * Makes the callers' interface.
 *
 * @example
 * const callers = makeCallers({ ...parts, address: '127.0.0.1', port: 8080 });
 * await callers.listen();
 */
export function makeCallers(options: CallersOptions): HttpInterface {
  const { dispatch, checkReady, fleet, verifier, invariants } = options;

  /** Checks readiness and identifies the caller from the headers, before the body is read. */
  const identifyCaller = async (context: RequestContext): Outcome<Identity> => {
    const readiness = checkReady();
    return readiness.isLeft() ? castFailure(readiness) : identify({ context, verifier, fleet });
  };

  /**
   * Runs the final checks synchronously, directly before the dispatcher is called, because the
   * settings and the key may have changed while the body or the job was read.
   */
  const authorise = (request: {
    context: RequestContext;
    identity: Identity;
    kind?: WorkKind;
    queue?: string;
  }): Either<Failure, Caller> => {
    const { context, identity, kind, queue: name } = request;
    const { holder, team } = identity;
    if (holder && !verifier.isInForce(holder)) {
      return failWith(ErrorKind.KeyRejected, 'the key was withdrawn');
    }
    const hasTeamKey = holder?.owner === 'team' && holder.team === team;
    // A team can still access its own jobs after their queue has been removed.
    const authorisedQueue =
      hasTeamKey && !kind
        ? Right({ name: name ?? '', open: false })
        : authoriseQueue({ identity, queue: name, fleet: fleet() }).chain((queue) =>
            kind ? checkKind(kind, queue).map(() => queue) : Right(queue),
          );
    return checkReady()
      .chain(() => authorisedQueue)
      .map((queue) => {
        invariants.check(
          Invariant.Key,
          queue.open || hasTeamKey,
          () => `work for team ${team} was accepted without a key of that team`,
        );
        const id = context.header('x-request-id');
        const { signal } = context;
        return { team, queue: queue.name, ...(id ? { request: id } : {}), signal };
      });
  };

  const makeWorkHandler = <Request extends { queue?: string }>(route: {
    validator: unknown;
    getKind: (request: Request) => WorkKind;
    execute: (caller: Caller, request: Request) => Outcome<JsonResponse>;
  }): Handler =>
    async function handle(context) {
      const identified = await identifyCaller(context);
      if (identified.isLeft()) return castFailure(identified);
      const body = await context.readJson();
      const decoded = body.chain((value) => decode<Request>(route.validator, value));
      if (decoded.isLeft()) return castFailure(decoded);
      const request = decoded.unsafeCoerce();
      const identity = identified.unsafeCoerce();
      const kind = route.getKind(request);
      const authorised = authorise({ context, identity, kind, queue: request.queue });
      if (authorised.isLeft()) return castFailure(authorised);
      return route.execute(authorised.unsafeCoerce(), request);
    };

  /** Makes a handler for a job of the caller's team, in a queue that the caller may use. */
  const makeJobHandler = (execute: (caller: Caller, id: string) => Outcome<unknown>): Handler =>
    async function handle(context) {
      const identified = await identifyCaller(context);
      if (identified.isLeft()) return castFailure(identified);
      const identity = identified.unsafeCoerce();
      const id = context.params.id ?? '';
      const found = await dispatch.job(identity.team, id);
      if (found.isLeft()) return castFailure(found);
      const { queue } = found.unsafeCoerce();
      const authorised = authorise({ context, identity, queue });
      if (authorised.isLeft()) return castFailure(authorised);
      const result = await execute(authorised.unsafeCoerce(), id);
      return result.map((body) => ({ status: status.ok, body }));
    };

  return makeServer({
    ...options,
    name: 'callers',
    routes: {
      'POST /v1/lookups': makeWorkHandler<LookupRequest>({
        validator: validators.validateLookupRequest,
        getKind: () => 'lookup',
        async execute(caller, request) {
          const response = await dispatch.lookup(caller, request);
          return response.map((body) => ({ status: status.ok, body }));
        },
      }),
      'POST /v1/jobs': makeWorkHandler<JobRequest>({
        validator: validators.validateJobRequest,
        getKind: ({ kind }) => kind,
        async execute(caller, request) {
          const job = await dispatch.submit(caller, request);
          return job.map((acceptedJob) => ({
            status: status.accepted,
            body: omitJobBody(acceptedJob),
          }));
        },
      }),
      'GET /v1/jobs/:id': makeJobHandler(async ({ team }, id) => {
        const job = await dispatch.job(team, id);
        return job.map(omitJobBody);
      }),
      'GET /v1/jobs/:id/result': makeJobHandler(async ({ team }, id) => {
        const result = await dispatch.result(team, id);
        return result.map((value) => ({ id, result: value ?? null }));
      }),
      'DELETE /v1/jobs/:id': makeJobHandler(async ({ team }, id) => {
        const job = await dispatch.cancel(team, id);
        return job.map(omitJobBody);
      }),
    },
  });
}
