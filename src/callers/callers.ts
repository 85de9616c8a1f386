/**
 * Routes of the callers' HTTP interface.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import type { Caller, Dispatch } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { makeServer } from '../http/mod.ts';
import type { Bounds, Exchange, Handler, HttpInterface, Reply } from '../http/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Verifier } from '../keys/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { Job, JobRequest, LookupRequest, WorkKind } from '../schema/mod.ts';
import type { Fleet, Queue } from '../settings/mod.ts';
import { enterQueue, identify } from './_access.ts';
import type { Identity } from './_access.ts';

/** The parts that the callers' interface uses. */
export interface CallersOptions {
  address: string;
  port: number;
  bounds: Bounds;
  dispatch: Dispatch;
  /** Fails while this process may not act, with the reason (`not-fresh`, `draining`). */
  gate: () => Either<Failure, void>;
  fleet: () => Fleet;
  verifier: Verifier;
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

/** A job as callers see it; they know its body already. */
function showJob({ body, ...job }: Job): Omit<Job, 'body'> {
  return job;
}

/** Passes a failure on under the type that the handler answers with. */
function asFailed<T>(result: Either<Failure, unknown>): Either<Failure, T> {
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
  const { dispatch, gate, fleet, verifier, invariants } = options;

  /** Checks everything that the headers show, before any body is read. */
  const admit = async (exchange: Exchange): Outcome<Identity> => {
    const open = gate();
    return open.isLeft() ? asFailed(open) : identify({ exchange, verifier, fleet });
  };

  /** The last checks, at one instant with the call to the dispatcher. */
  const enter = (request: {
    exchange: Exchange;
    identity: Identity;
    kind?: WorkKind;
    queue?: string;
  }): Either<Failure, Caller> => {
    const { exchange, identity, kind, queue: name } = request;
    const { holder, team } = identity;
    if (holder && !verifier.isInForce(holder)) {
      return failWith(ErrorKind.KeyRejected, 'the key was withdrawn');
    }
    const isOwn = holder?.owner === 'team' && holder.team === team;
    // A team reaches its own jobs even after their queue was removed.
    const entered =
      isOwn && !kind
        ? Right({ name: name ?? '', open: false })
        : enterQueue({ identity, queue: name, fleet: fleet() }).chain((queue) =>
            kind ? checkKind(kind, queue).map(() => queue) : Right(queue),
          );
    return gate()
      .chain(() => entered)
      .map((queue) => {
        invariants.check(
          Invariant.Key,
          queue.open || isOwn,
          () => `work for team ${team} was accepted without its key`,
        );
        const id = exchange.header('x-request-id');
        const { signal } = exchange;
        return { team, queue: queue.name, ...(id ? { request: id } : {}), signal };
      });
  };

  const accept = <Request extends { queue?: string }>(accepted: {
    validator: unknown;
    kindOf: (request: Request) => WorkKind;
    work: (caller: Caller, request: Request) => Outcome<Reply>;
  }): Handler =>
    async function handle(exchange) {
      const admitted = await admit(exchange);
      if (admitted.isLeft()) return asFailed(admitted);
      const body = await exchange.readJson();
      const decoded = body.chain((value) => decode<Request>(accepted.validator, value));
      if (decoded.isLeft()) return asFailed(decoded);
      const request = decoded.unsafeCoerce();
      const identity = admitted.unsafeCoerce();
      const kind = accepted.kindOf(request);
      const entered = enter({ exchange, identity, kind, queue: request.queue });
      if (entered.isLeft()) return asFailed(entered);
      return accepted.work(entered.unsafeCoerce(), request);
    };

  /** Finds a job of the caller's team, in a queue that the caller may use. */
  const withJob = (work: (caller: Caller, id: string) => Outcome<unknown>): Handler =>
    async function handle(exchange) {
      const admitted = await admit(exchange);
      if (admitted.isLeft()) return asFailed(admitted);
      const identity = admitted.unsafeCoerce();
      const id = exchange.params.id ?? '';
      const found = await dispatch.job(identity.team, id);
      if (found.isLeft()) return asFailed(found);
      const { queue } = found.unsafeCoerce();
      const entered = enter({ exchange, identity, queue });
      if (entered.isLeft()) return asFailed(entered);
      const done = await work(entered.unsafeCoerce(), id);
      return done.map((body) => ({ status: status.ok, body }));
    };

  return makeServer({
    ...options,
    name: 'callers',
    routes: {
      'POST /v1/lookups': accept<LookupRequest>({
        validator: validators.validateLookupRequest,
        kindOf: () => 'lookup',
        async work(caller, request) {
          const answer = await dispatch.lookup(caller, request);
          return answer.map((body) => ({ status: status.ok, body }));
        },
      }),
      'POST /v1/jobs': accept<JobRequest>({
        validator: validators.validateJobRequest,
        kindOf: ({ kind }) => kind,
        async work(caller, request) {
          const job = await dispatch.submit(caller, request);
          return job.map((accepted) => ({ status: status.accepted, body: showJob(accepted) }));
        },
      }),
      'GET /v1/jobs/:id': withJob(async ({ team }, id) => {
        const job = await dispatch.job(team, id);
        return job.map(showJob);
      }),
      'GET /v1/jobs/:id/result': withJob(async ({ team }, id) => {
        const result = await dispatch.result(team, id);
        return result.map((value) => ({ id, result: value ?? null }));
      }),
      'DELETE /v1/jobs/:id': withJob(async ({ team }, id) => {
        const job = await dispatch.cancel(team, id);
        return job.map(showJob);
      }),
    },
  });
}
