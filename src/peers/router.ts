/**
 * The tRPC router that serves peers. Every procedure is a mutation, so that its input is sent in
 * the request body.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { initTRPC } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import type { Either } from 'purify-ts';

import type { Failure, Outcome } from '../errors/mod.ts';
import type {
  AttemptQuestion,
  ChangesQuestion,
  CommitQuestion,
  EndedQuestion,
  FreshQuestion,
  HandedLookup,
  HoldQuestion,
  ReleaseQuestion,
  StopQuestion,
  SubmitQuestion,
  Validator,
  ViewsQuestion,
  WitnessQuestion,
} from '../schema/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { CallOptions, Peer } from './peers.ts';

/** A response on the wire: a value or a failure, and the free slots of the responding process. */
export interface Envelope {
  value?: unknown;
  failure?: Failure;
  room: number;
}

const maxBodyBytes = 16 * 1024 * 1024;

/** Path prefix of the calls from peers. */
export const peerPath = '/p/';

/** Time for which a server must keep idle connections; clients close theirs earlier. */
export const peerKeepAliveMs = 75_000;

const statusValidator: Validator = (value) =>
  typeof value === 'object' &&
  value !== null &&
  ['undefined', 'string'].includes(typeof (value as { section?: unknown }).section);

const trpc = initTRPC.create();

/**
 * Creates a router that calls the handlers.
 *
 * @example
 * const router = makePeerRouter(handlers, { room: () => pool.freeSlots() });
 */
export function makePeerRouter(peer: Peer, { room }: { room: () => number }) {
  const makeProcedure = <Input, Output>(
    validator: unknown,
    handler: (request: Input, options: CallOptions) => Outcome<Output>,
  ) =>
    trpc.procedure
      .input((raw: unknown): Either<Failure, Input> => decode<Input>(validator, raw))
      .mutation(async ({ input, signal }): Promise<Envelope> => {
        const outcome = await input.caseOf({
          Left: () => Promise.resolve(input as Either<Failure, never>),
          Right: (request): Promise<Either<Failure, Output>> =>
            handler(request, signal ? { signal } : {}),
        });
        return outcome.caseOf<Envelope>({
          Left: (failure) => ({ failure, room: room() }),
          Right: (value) => ({ value, room: room() }),
        });
      });
  return trpc.router({
    fresh: makeProcedure<FreshQuestion, unknown>(validators.validateFreshQuestion, peer.fresh),
    lookup: makeProcedure<HandedLookup, unknown>(validators.validateHandedLookup, peer.lookup),
    witness: makeProcedure<WitnessQuestion, unknown>(
      validators.validateWitnessQuestion,
      peer.witness,
    ),
    views: makeProcedure<ViewsQuestion, unknown>(validators.validateViewsQuestion, peer.views),
    submit: makeProcedure<SubmitQuestion, unknown>(validators.validateSubmitQuestion, peer.submit),
    hold: makeProcedure<HoldQuestion, unknown>(validators.validateHoldQuestion, peer.hold),
    commit: makeProcedure<CommitQuestion, unknown>(validators.validateCommitQuestion, peer.commit),
    release: makeProcedure<ReleaseQuestion, unknown>(
      validators.validateReleaseQuestion,
      peer.release,
    ),
    stop: makeProcedure<StopQuestion, unknown>(validators.validateStopQuestion, peer.stop),
    ended: makeProcedure<EndedQuestion, unknown>(validators.validateEndedQuestion, peer.ended),
    attempt: makeProcedure<AttemptQuestion, unknown>(
      validators.validateAttemptQuestion,
      peer.attempt,
    ),
    changes: makeProcedure<ChangesQuestion, unknown>(
      validators.validateChangesQuestion,
      peer.changes,
    ),
    status: makeProcedure<{ section?: string }, unknown>(statusValidator, peer.status),
  });
}

/** Type of the router, from which the client derives its procedures. */
export type PeerRouter = ReturnType<typeof makePeerRouter>;

/**
 * Creates the request listener for paths below {@link peerPath}. Its server must keep idle
 * connections for {@link peerKeepAliveMs}.
 *
 * @example
 * http.createServer({ keepAliveTimeout: peerKeepAliveMs }, makePeerHandler(handlers, { room }));
 */
export function makePeerHandler(
  peer: Peer,
  options: { room: () => number },
): (request: IncomingMessage, response: ServerResponse) => void {
  const handler = createHTTPHandler({
    router: makePeerRouter(peer, options),
    basePath: peerPath,
    maxBodySize: maxBodyBytes,
  });
  return (request, response) => {
    // Saves bytes of the control traffic budget per node; peers do not read the date header.
    Object.assign(response, { sendDate: false });
    handler(request, response);
  };
}
