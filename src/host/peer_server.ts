/**
 * Serves the requests of the other entry processes, over HTTP and on channels.
 */
import { channelProtocol, makeChannelServer } from '../channel/mod.ts';
import type { ChannelRequest, ChannelResponse, ChannelServer } from '../channel/mod.ts';
import { isAcceptedJob, SubmitResult } from '../cell/mod.ts';
import type { SchedulerService } from '../cell/mod.ts';
import { listen } from '../front/mod.ts';
import type {
  ClientRequest,
  ClientResponse,
  HttpRequest,
  HttpResponse,
  HttpServer,
} from '../front/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { AdviceRequest, Adviser } from '../model/mod.ts';
import type { OperatorStateMessage } from './operator_state.ts';
import { shiftPort } from './_peer_address.ts';
import { isWorkerCall } from './_worker_calls.ts';
import type { WorkerCall, WorkerCallResult } from './_worker_calls.ts';

/** Handles the requests of other processes. */
export interface PeerService {
  /** The instance of this process; empty once it is stopping and no longer schedules. */
  instance(): string;
  advise: Adviser;
  relay(request: ClientRequest): Promise<ClientResponse>;
  callWorker(call: WorkerCall): Promise<WorkerCallResult>;
  operatorState(): OperatorStateMessage | undefined;
  /** The scheduler's service while this process is the scheduler. */
  scheduler(): SchedulerService | undefined;
}

/** Where the requests of other processes are served. */
export interface PeerServerOptions {
  /** Address of the first port. */
  address: string;
  /** Number of consecutive ports. */
  ports: number;
  log: Logger;
  onError(error: unknown): void;
}

type Handler = (body: unknown) => Promise<ChannelResponse> | ChannelResponse;

const maxBodyBytes = 1_048_576;

const isString = (value: unknown): value is string => typeof value === 'string';

function makeHandlers(
  service: PeerService,
  onError: (error: unknown) => void,
): Partial<Record<string, Handler>> {
  function rejectMalformed(expected: string): ChannelResponse {
    const message = `expected ${expected}`;
    onError(new Error(message));
    return { status: 400, body: { message } };
  }

  /** Makes a handler of a list; the values of the response are in the order of the list. */
  function makeListHandler<Value, Result>(
    expected: string,
    isValue: (value: unknown) => value is Value,
    handle: (value: Value) => Promise<Result> | Result,
  ): Handler {
    return async (body) => {
      if (Array.isArray(body) && body.every(isValue)) {
        return { status: 200, body: { results: await Promise.all(body.map(handle)) } };
      }
      return rejectMalformed(`a list of ${expected}`);
    };
  }

  return {
    '/submit': makeListHandler(
      'accepted jobs',
      isAcceptedJob,
      (job) => service.scheduler()?.submit(job) ?? SubmitResult.NotTaken,
    ),
    '/states': makeListHandler(
      'ids',
      isString,
      (id) => service.scheduler()?.getStoredState(id) ?? null,
    ),
    '/cancel': makeListHandler('ids', isString, (id) => service.scheduler()?.cancel(id) ?? false),
    '/ping': () => ({
      status: 200,
      body: {
        instance: service.instance(),
        epoch: service.scheduler()?.epoch ?? 0,
        storeFailingMs: service.scheduler()?.storeFailingMs() ?? 0,
        storeRejectedMs: service.scheduler()?.storeRejectedMs() ?? 0,
      },
    }),
    '/wishes': () => {
      const message = service.operatorState();
      return message ? { status: 200, body: message } : { status: 503, body: {} };
    },
    '/worker': async (body) => {
      if (!isWorkerCall(body)) return rejectMalformed('a call to a worker');
      // A process that is stopping would end before it could pass on the response.
      if (service.instance() === '') return { status: 503, body: {} };
      return { status: 200, body: await service.callWorker(body) };
    },
    '/relay': async (body) => ({ status: 200, body: await service.relay(body as ClientRequest) }),
    '/advise': async (body) => {
      const tickets = await service.advise(body as AdviceRequest);
      return tickets.caseOf<ChannelResponse>({
        Left: ({ message }) => ({ status: 503, body: { message } }),
        Right: (value) => ({ status: 200, body: value }),
      });
    },
  };
}

/** Parses the body of a request; undefined if it is empty or malformed. */
function parseBody(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Makes the server's `close` end the channels on its connections, too. */
function closeWithChannels(server: HttpServer, channels: ChannelServer): HttpServer {
  return {
    ...server,
    close() {
      server.close();
      channels.close();
    },
  };
}

/**
 * Serves the requests of other processes on several consecutive ports. Node accepts one connection of
 * a listener in each turn of the event loop, which is too slow for the connections of a large fleet to
 * a new scheduler.
 *
 * @example
 * const servers = await servePeers(service, { address: '10.0.0.7:7420', ports: 8, log, onError });
 */
export function servePeers(
  service: PeerService,
  { address, ports, log, onError }: PeerServerOptions,
): Promise<HttpServer[]> {
  const handlers = makeHandlers(service, onError);

  async function handle({ path, body }: ChannelRequest): Promise<ChannelResponse> {
    const handler = handlers[path];
    return handler ? handler(body) : { status: 404, body: {} };
  }

  async function handleHttp({ path, body }: HttpRequest): Promise<HttpResponse> {
    const response = await handle({ path, body: parseBody(body) });
    return { status: response.status, body: JSON.stringify(response.body) };
  }

  async function listenOnPort(offset: number): Promise<HttpServer> {
    const channels = makeChannelServer({
      handle,
      onError,
      onConnectionFailed: ({ message }) =>
        log.info('a channel has failed', { event: 'channel-failed', reason: message }),
    });
    const server = await listen({
      address: shiftPort(address, offset),
      maxBodyBytes: () => maxBodyBytes,
      handle: handleHttp,
      upgrade(protocol, socket, head) {
        if (protocol === channelProtocol) channels.accept(socket, head);
        else socket.destroy();
      },
      onError,
    });
    return closeWithChannels(server, channels);
  }

  return Promise.all(Array.from({ length: ports }, (_, offset) => listenOnPort(offset)));
}
