/**
 * A worker behind a real socket.
 */
import type { ServerResponse } from 'node:http';

import { ErrorKind } from '../errors/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { RenewRequest, Size, StartAnswer, StartRequest, StopRequest } from '../schema/mod.ts';
import { startServer } from './_server.ts';
import type { Call, Reply, Standin, StandinOptions } from './_server.ts';
import { WorkerModel } from './_worker_state.ts';
import type { Refusal, StartRecord, WorkerFaults } from './_worker_state.ts';

/** Faults of the answers to lookups. */
export interface AnswerFaults {
  /** Answers are streamed, without a length. */
  stream: boolean;
  /** Streamed answers end without their marker. */
  cut: boolean;
  /** Answers name another task. */
  mixUp: boolean;
}

/** A worker that runs. */
export interface WorkerStandin extends Standin {
  id: string;
  starts: StartRecord[];
  /** Changes faults in the same way as `POST /_control`; `crash: true` ends all tasks. */
  control(fields: Partial<WorkerFaults & AnswerFaults & { crash: boolean }>): void;
}

/** Where the worker listens, and what it has room for. */
export interface WorkerStandinOptions extends StandinOptions {
  id: string;
  capacity?: Size;
}

const defaultCapacity: Size = { processors: 16, memoryMb: 32_768, accelerators: 0, slots: 8 };
const streamedAboveBytes = 16_384;

function reply(result: object): Reply {
  if (!('refusal' in result)) return { status: 200, value: result };
  const { refusal } = result as Refusal;
  return { status: refusal.kind === ErrorKind.NotFound ? 404 : 409, value: refusal };
}

function replyStart(answer: StartAnswer, { stream, cut, mixUp }: AnswerFaults): Reply {
  const value = mixUp ? { ...answer, task: `${answer.task}-other` } : answer;
  const text = Buffer.from(JSON.stringify(value));
  if (!stream && !cut && text.length <= streamedAboveBytes) return { status: 200, value };
  const send = (response: ServerResponse) => {
    response.writeHead(200, { 'content-type': 'application/json', 'x-answer': 'streamed' });
    const half = Math.floor(text.length / 2);
    response.write(text.subarray(0, half));
    if (cut) response.end();
    else
      response.end(Buffer.concat([text.subarray(half), Buffer.from(`\n{"end":${text.length}}`)]));
  };
  return { status: 200, send };
}

async function handleStart(model: WorkerModel, call: Call, faults: AnswerFaults): Promise<Reply> {
  const request = decode<StartRequest>(validators.validateStartRequest, call.json);
  if (request.isLeft()) return { status: 400, value: request.extract() };
  const started = model.start(request.extract() as StartRequest);
  return started instanceof Promise ? replyStart(await started, faults) : reply(started);
}

/**
 * Starts a worker: the worker protocol, and `GET /_starts` with every start so far.
 *
 * @example
 * const worker = await startWorker({ clock: systemClock, id: 'w1' });
 * worker.control({ failStarts: true });
 */
export async function startWorker(options: WorkerStandinOptions): Promise<WorkerStandin> {
  const { clock, id, capacity = defaultCapacity } = options;
  const model = new WorkerModel({ clock, id, capacity });
  const answers: AnswerFaults = { stream: false, cut: false, mixUp: false };
  const control = (fields: Record<string, unknown>) => {
    const pick = (names: object) =>
      Object.fromEntries(Object.entries(fields).filter(([name]) => name in names));
    Object.assign(model.faults, pick(model.faults));
    Object.assign(answers, pick(answers));
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
  const handle = async (call: Call): Promise<Reply> => {
    const { path, json } = call;
    if (path === '/_starts') return { status: 200, value: countStarts() };
    if (path === '/start') return handleStart(model, call, answers);
    if (path === '/fence') return reply(model.fence(Number(json.epoch)));
    if (path === '/list') return reply(model.list());
    if (path === '/renew') return reply(await model.renew(json as unknown as RenewRequest));
    if (path === '/stop') return reply(model.stop(json as unknown as StopRequest));
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
