/**
 * Calls to the scheduler of the cell, in this process or in another.
 *
 * A scheduler that does not answer is left alone for a while; the entry process then goes to the store
 * by itself.
 */
import type { Either } from 'purify-ts';

import { SubmitResult } from '../cell/mod.ts';
import type { CellService, Claim } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { CellAccess } from '../front/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { AcceptedJob, JobState } from '../model/mod.ts';
import { makeBatcher } from '../batches/mod.ts';
import type { Batcher } from '../batches/mod.ts';
import type { PeerClient } from './peers.ts';

/** What the client uses. */
export interface CellClientOptions {
  clock: Clock;
  log: Logger;
  peers: PeerClient;
  /** The service of this process while it is the scheduler. */
  ownService(): CellService | undefined;
  /** The claim of the scheduler, if it is another process that answers. */
  otherScheduler(): Claim | undefined;
}

const avoidMs = 400;
const silenceCheckMs = 100;
const maxRequests = 60;
const maxBatches = 3;

/**
 * Makes the client.
 *
 * @example
 * const outcome = await cell.submit(job);
 */
export function makeCellClient(options: CellClientOptions): CellAccess {
  const { clock, log, peers, ownService, otherScheduler } = options;
  let avoided = { instance: '', untilMs: 0 };

  function address(): string | undefined {
    const claim = otherScheduler();
    if (!claim) return undefined;
    const isAvoided = claim.instance === avoided.instance && clock.now() < avoided.untilMs;
    return isAvoided ? undefined : claim.address;
  }

  function avoid(problem: Failure): void {
    const instance = otherScheduler()?.instance ?? '';
    avoided = { instance, untilMs: clock.now() + avoidMs };
    log.info('the scheduler does not answer', {
      event: 'scheduler-silent',
      instance,
      reason: problem.got,
    });
  }

  /** Resolves with a failure once the scheduler at the address no longer answers pings. */
  async function silenceOf(target: string, ended: AbortSignal): Outcome<never> {
    while (!ended.aborted && otherScheduler()?.address === target) {
      await clock.sleep(silenceCheckMs, ended);
    }
    return failWith(ErrorKind.OutcomeUnknown, 'the scheduler fell silent', { got: target });
  }

  async function call<Result>(
    send: (address: string) => Outcome<Result[]>,
  ): Promise<Either<Failure, Result[]>> {
    const target = address();
    if (target === undefined) {
      return failWith(ErrorKind.PeerUnavailable, 'no other process that answers is the scheduler');
    }
    const ended = new AbortController();
    const result = await Promise.race<Either<Failure, Result[]>>([
      send(target),
      silenceOf(target, ended.signal),
    ]);
    ended.abort();
    return result.ifLeft(avoid);
  }

  /** Batches of one kind of request; `resultWithout` says what a request without an answer gets. */
  function batchesOf<Request, Result>(
    send: (address: string, requests: Request[]) => Outcome<Result[]>,
    resultWithout: (kind: ErrorKind) => Result,
  ): Batcher<Request, Result> {
    return makeBatcher({
      async send(requests) {
        const answer = await call((target) => send(target, requests));
        return answer.caseOf({
          Left: ({ kind }) => requests.map(() => resultWithout(kind)),
          Right: (results) => results,
        });
      },
      fallback: resultWithout(ErrorKind.OutcomeUnknown),
      onError: logFailure(log, 'a batch for the scheduler'),
      maxInFlight: maxBatches,
      maxRequests,
    });
  }

  const submissions = batchesOf<AcceptedJob, SubmitResult>(peers.submit, (kind) =>
    kind === ErrorKind.OutcomeUnknown ? SubmitResult.Unknown : SubmitResult.NotTaken,
  );
  const states = batchesOf<string, JobState | undefined>(peers.states, () => undefined);
  const cancellations = batchesOf<string, boolean>(peers.cancel, () => false);

  return {
    submit: (job) => ownService()?.submit(job) ?? submissions.submit(job),
    async stateOf(jobId) {
      const own = ownService();
      return own ? own.stateOf(jobId) : states.submit(jobId);
    },
    cancel: (jobId) => ownService()?.cancel(jobId) ?? cancellations.submit(jobId),
  };
}
