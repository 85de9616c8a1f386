/**
 * Client of the cell's scheduler, which runs in this process or in another one.
 *
 * After a failed request the client backs off for `backOffMs`, during which the entry process uses the
 * store itself.
 */
import type { Either } from 'purify-ts';

import { SubmitResult } from '../cell/mod.ts';
import type { SchedulerService, Claim } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { SchedulerClient } from '../front/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { AcceptedJob, JobState } from '../model/mod.ts';
import { makeBatcher } from '../batches/mod.ts';
import type { Batcher, BatchOptions } from '../batches/mod.ts';
import type { PeerClient } from './peer_client.ts';

/** Dependencies of the client. */
export interface SchedulerClientOptions {
  clock: Clock;
  log: Logger;
  peers: PeerClient;
  requestsInFlight: RequestsInFlight;
  /** The scheduler's service while this process is the scheduler. */
  localService(): SchedulerService | undefined;
  /** The claim of the scheduler if it is another process and responds to pings. */
  remoteClaim(): Claim | undefined;
}

/** The requests to the scheduler that are in flight. */
export interface RequestsInFlight {
  /** Records a request; returns a function that records its end. */
  begin(): () => void;
  /** Age of the oldest request in flight; 0 if there is none. */
  oldestMs(): number;
}

const backOffMs = 400;
const claimCheckIntervalMs = 100;
const maxRequestsPerBatch = 60;
/** Bounds a batch of large jobs, below the size of a body that a process accepts. */
const maxSubmissionBytes = 900_000;
const estimatedStepBytes = 300;
/** While these are in flight, further requests of the same kind join the next batch. */
const maxBatchesInFlight = 2;

function estimateBytes({ spec }: AcceptedJob): number {
  return spec.payload.length + spec.steps.length * estimatedStepBytes;
}

/**
 * Makes a record of the requests in flight.
 *
 * @example
 * const end = requestsInFlight.begin();
 */
export function makeRequestsInFlight(clock: Clock): RequestsInFlight {
  /** Start times, oldest first. */
  const starts = new Map<symbol, number>();
  return {
    begin() {
      const request = Symbol('request');
      starts.set(request, clock.now());
      return () => starts.delete(request);
    },
    oldestMs() {
      const [oldest] = starts.values();
      return oldest === undefined ? 0 : clock.now() - oldest;
    },
  };
}

/**
 * Makes a client of the scheduler.
 *
 * @example
 * const result = await schedulerClient.submit(job);
 */
export function makeSchedulerClient(options: SchedulerClientOptions): SchedulerClient {
  const { clock, log, peers, requestsInFlight, localService, remoteClaim } = options;
  let backedOff = { instance: '', untilMs: 0 };

  function getAvailableAddress(): string | undefined {
    const claim = remoteClaim();
    if (!claim) return undefined;
    const isBackedOff = claim.instance === backedOff.instance && clock.now() < backedOff.untilMs;
    return isBackedOff ? undefined : claim.address;
  }

  function backOff(failure: Failure): void {
    const instance = remoteClaim()?.instance ?? '';
    backedOff = { instance, untilMs: clock.now() + backOffMs };
    log.info('scheduler is unresponsive', {
      event: 'scheduler-silent',
      instance,
      reason: failure.got,
    });
  }

  /** Resolves with a failure once the scheduler at the address is unresponsive or replaced. */
  async function failWhenUnresponsive(target: string, signal: AbortSignal): Outcome<never> {
    while (!signal.aborted && remoteClaim()?.address === target) {
      await clock.sleep(claimCheckIntervalMs, signal);
    }
    return failWith(ErrorKind.OutcomeUnknown, 'the scheduler became unresponsive', { got: target });
  }

  async function requestRemote<Result>(
    send: (address: string) => Outcome<Result[]>,
  ): Promise<Either<Failure, Result[]>> {
    const target = getAvailableAddress();
    if (target === undefined) {
      return failWith(ErrorKind.PeerUnavailable, 'no other process is a responsive scheduler');
    }
    const requestEnded = new AbortController();
    const endRequest = requestsInFlight.begin();
    try {
      const result = await Promise.race<Either<Failure, Result[]>>([
        send(target),
        failWhenUnresponsive(target, requestEnded.signal),
      ]);
      return result.ifLeft(backOff);
    } finally {
      requestEnded.abort();
      endRequest();
    }
  }

  /** Makes a batcher for one kind of request; `makeFallback` gives the result of a failed request. */
  function makeRequestBatcher<Request, Result>(
    send: (address: string, requests: Request[]) => Outcome<Result[]>,
    makeFallback: (kind: ErrorKind) => Result,
    sizes: Pick<BatchOptions<Request, Result>, 'maxSize' | 'sizeOf'> = {},
  ): Batcher<Request, Result> {
    return makeBatcher({
      ...sizes,
      async send(requests) {
        const response = await requestRemote((target) => send(target, requests));
        return response.caseOf({
          Left: ({ kind }) => requests.map(() => makeFallback(kind)),
          Right: (results) => results,
        });
      },
      fallback: makeFallback(ErrorKind.OutcomeUnknown),
      onError: logFailure(log, 'a batch of requests to the scheduler'),
      maxInFlight: maxBatchesInFlight,
      maxRequests: maxRequestsPerBatch,
    });
  }

  const submissionBatcher = makeRequestBatcher<AcceptedJob, SubmitResult>(
    peers.submit,
    (kind) => (kind === ErrorKind.OutcomeUnknown ? SubmitResult.Unknown : SubmitResult.NotTaken),
    { maxSize: maxSubmissionBytes, sizeOf: estimateBytes },
  );
  const stateBatcher = makeRequestBatcher<string, JobState | undefined>(
    peers.getStates,
    () => undefined,
  );
  const cancellationBatcher = makeRequestBatcher<string, boolean>(peers.cancel, () => false);

  return {
    submit: (job) => localService()?.submit(job) ?? submissionBatcher.submit(job),
    async getState(jobId) {
      const service = localService();
      return service ? service.getStoredState(jobId) : stateBatcher.submit(jobId);
    },
    cancel: (jobId) => localService()?.cancel(jobId) ?? cancellationBatcher.submit(jobId),
  };
}
