/**
 * A stand-in for a worker on a real socket.
 */
import type { ServerResponse } from 'node:http';

import { ErrorKind } from '../errors/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { RenewRequest, Size, StartAnswer, StartRequest, StopRequest } from '../schema/mod.ts';
import { startServer } from './_server.ts';
import type { StandinRequest, StandinResponse, Standin, StandinOptions } from './_server.ts';
import { WorkerModel } from './_worker_state.ts';
import type { Rejection, StartRecord, WorkerFaults } from './_worker_state.ts';

/** Injected faults in the responses to starts. */
export interface ResponseFaults {
  /** Responses are streamed without a content length. */
  stream: boolean;
  /** Streamed responses end halfway, without the end marker. */
  cut: boolean;
  /** Responses name another task. */
  mixUp: boolean;
}

/** A running worker. */
export interface WorkerStandin extends Standin {
  id: string;
  starts: StartRecord[];
  /** Changes faults like `POST /_control`; `crash: true` ends all tasks and connections. */
  control(fields: Partial<WorkerFaults & ResponseFaults & { crash: boolean }>): void;
}

/** Listening address, id and capacity of a worker. */
export interface WorkerStandinOptions extends StandinOptions {
  id: string;
  capacity?: Size;
}

const defaultCapacity: Size = { processors: 16, memoryMb: 32_768, accelerators: 0, slots: 8 };
const maxUnstreamedBytes = 16_384;

function makeResponse(result: object): StandinResponse {
  if (!('rejection' in result)) return { status: 200, value: result };
  const { rejection } = result as Rejection;
  return { status: rejection.kind === ErrorKind.NotFound ? 404 : 409, value: rejection };
}

function makeStartResponse(
  startAnswer: StartAnswer,
  { stream, cut, mixUp }: ResponseFaults,
): StandinResponse {
  const value = mixUp ? { ...startAnswer, task: `${startAnswer.task}-other` } : startAnswer;
  const bytes = Buffer.from(JSON.stringify(value));
  if (!stream && !cut && bytes.length <= maxUnstreamedBytes) return { status: 200, value };
  const send = (response: ServerResponse) => {
    response.writeHead(200, { 'content-type': 'application/json', 'x-answer': 'streamed' });
    const half = Math.floor(bytes.length / 2);
    response.write(bytes.subarray(0, half));
    if (cut) response.end();
    else
      response.end(Buffer.concat([bytes.subarray(half), Buffer.from(`\n{"end":${bytes.length}}`)]));
  };
  return { status: 200, send };
}

async function handleStart(
  model: WorkerModel,
  call: StandinRequest,
  faults: ResponseFaults,
): Promise<StandinResponse> {
  const request = decode<StartRequest>(validators.validateStartRequest, call.json);
  if (request.isLeft()) return { status: 400, value: request.extract() };
  const started = model.start(request.extract() as StartRequest);
  return started instanceof Promise
    ? makeStartResponse(await started, faults)
    : makeResponse(started);
}

/**
 * Starts a worker, which serves the worker protocol and, at `GET /_starts`, all starts so far.
 *
 * @example
 * const worker = await startWorker({ clock: systemClock, id: 'w1' });
 * worker.control({ failStarts: true });
 */
export async function startWorker(options: WorkerStandinOptions): Promise<WorkerStandin> {
  const { clock, id, capacity = defaultCapacity } = options;
  const model = new WorkerModel({ clock, id, capacity });
  const responseFaults: ResponseFaults = { stream: false, cut: false, mixUp: false };
  const control = (fields: Record<string, unknown>) => {
    const pickFieldsOf = (target: object) =>
      Object.fromEntries(Object.entries(fields).filter(([name]) => name in target));
    Object.assign(model.faults, pickFieldsOf(model.faults));
    Object.assign(responseFaults, pickFieldsOf(responseFaults));
    if (fields.crash === true) crash();
    model.notify();
  };
  const countStarts = () => {
    const counts: Record<string, number> = {};
    model.starts.forEach(({ task }) => {
      counts[task] = (counts[task] ?? 0) + 1;
    });
    return { counts, starts: model.starts };
  };
  const handle = async (call: StandinRequest): Promise<StandinResponse> => {
    const { path, json } = call;
    if (path === '/_starts') return { status: 200, value: countStarts() };
    if (path === '/start') return handleStart(model, call, responseFaults);
    if (path === '/fence') return makeResponse(model.fence(Number(json.epoch)));
    if (path === '/list') return makeResponse(model.list());
    if (path === '/renew') return makeResponse(await model.renew(json as unknown as RenewRequest));
    if (path === '/stop') return makeResponse(model.stop(json as unknown as StopRequest));
    return { status: 404, value: {} };
  };
  const server = await startServer({ ...options, handle, control });
  function crash(): void {
    server.disconnect();
    model.crash();
  }
  const close = () => {
    crash();
    return server.close();
  };
  return { ...server, id, starts: model.starts, control, close };
}
