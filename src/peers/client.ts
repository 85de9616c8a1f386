/**
 * Clients for calls to other entry processes over tRPC, with persistent connections.
 */
import { createTRPCClient, httpLink } from '@trpc/client';
import { Left, Right } from 'purify-ts';
import { Agent } from 'undici';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Member } from '../schema/mod.ts';
import { sendRequest } from './_exchange.ts';
import type { SendState } from './_exchange.ts';
import type { CallOptions, Peer, Peers } from './peers.ts';
import { peerPath } from './router.ts';
import type { Envelope, PeerRouter } from './router.ts';

type Method = keyof Peer;

const defaultTimeoutsMs: Readonly<Record<Method, number>> = {
  fresh: 300,
  lookup: 10_000,
  witness: 250,
  views: 250,
  // Longer than the peer may take to write the job, so that its response comes before the timeout.
  submit: 11_000,
  hold: 1_000,
  commit: 5_000,
  release: 1_000,
  stop: 5_000,
  ended: 3_000,
  attempt: 1_000,
  changes: 1_000,
  status: 2_000,
};

// Shorter than the server's {@link peerKeepAliveMs}: no request meets a closing connection.
const keepAliveMs = 30_000;
const connectTimeoutMs = 500;
// A lookup occupies a connection while it runs, so other calls use separate connections.
const maxConnections = { lookups: 256, control: 8 };

/** The clients of all peers. */
export interface PeerClients {
  peers: Peers;
  /** Closes all connections. */
  close(): Promise<void>;
}

type PeerAddress = Pick<Member, 'id' | 'address' | 'port'>;

function makeAgent(connections: number): Agent {
  return new Agent({
    connections,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    connect: { timeout: connectTimeoutMs, noDelay: true },
  });
}

function decodeEnvelope<Output>({ value, failure: callFailure }: Envelope) {
  return callFailure ? Left(callFailure) : Right(value as Output);
}

function makeCaller(member: PeerAddress, agents: { lookups: Agent; control: Agent }) {
  const stateByCall = new Map<string, SendState>();
  let sequence = 0;
  const client = createTRPCClient<PeerRouter>({
    links: [
      httpLink({
        url: `http://${member.address}:${member.port}${peerPath}`,
        headers: ({ op }) => ({ call: String(op.context.call) }),
        async fetch(url, init) {
          // The `call` header only identifies the call to this function; it is not sent.
          const { call = '' } = (init?.headers ?? {}) as { call?: string };
          const state = stateByCall.get(call) ?? { sent: true };
          const text = await sendRequest(
            String(url).endsWith('/lookup') ? agents.lookups : agents.control,
            {
              url: String(url),
              body: String(init?.body ?? ''),
              ...(init?.signal ? { signal: init.signal } : {}),
              state,
            },
          );
          return { ok: true, json: async () => JSON.parse(text) as unknown };
        },
      }),
    ],
  });
  return async (method: Method, request: unknown, signal: AbortSignal) => {
    sequence += 1;
    const call = String(sequence);
    const state: SendState = { sent: false };
    stateByCall.set(call, state);
    try {
      const mutate = client[method].mutate as (
        input: unknown,
        options: { signal: AbortSignal; context: Record<string, unknown> },
      ) => Promise<Envelope>;
      return { envelope: await mutate(request, { signal, context: { call } }) };
    } catch (error) {
      return { error, sent: state.sent };
    } finally {
      stateByCall.delete(call);
    }
  };
}

async function callPeer<Output>(
  caller: ReturnType<typeof makeCaller>,
  { method, request, options }: { method: Method; request: unknown; options: CallOptions },
  dependencies: {
    clock: Clock;
    member: PeerAddress;
    onFreeSlots: (member: string, freeSlots: number) => void;
  },
): Outcome<Output> {
  const { clock, member, onFreeSlots } = dependencies;
  const { timeoutMs = defaultTimeoutsMs[method], signal } = options;
  const abortController = new AbortController();
  const timerController = new AbortController();
  const abort = () => abortController.abort();
  if (signal?.aborted) abort();
  signal?.addEventListener('abort', abort, { once: true });
  const timer = clock.sleep(timeoutMs, timerController.signal).then(abort);
  const result = await caller(method, request, abortController.signal);
  timerController.abort();
  signal?.removeEventListener('abort', abort);
  await timer;
  if (result.envelope) {
    onFreeSlots(member.id, result.envelope.room);
    return decodeEnvelope<Output>(result.envelope);
  }
  const message = `${method} to peer ${member.id}: ${String(result.error)}`;
  return Left(
    makeFailure(result.sent ? ErrorKind.OutcomeUnknown : ErrorKind.PeerUnavailable, message),
  );
}

/**
 * Creates the clients of all peers. `onFreeSlots` receives the free slots that each response reports.
 *
 * @example
 * const { peers, close } = makePeerClients({ clock, onFreeSlots: (member, freeSlots) => {} });
 * await peers(member).fresh({ member: 'm1', settings: 4, membership: 2 });
 */
export function makePeerClients(options: {
  clock: Clock;
  onFreeSlots?: (member: string, freeSlots: number) => void;
}): PeerClients {
  const { clock, onFreeSlots = () => undefined } = options;
  const agents = {
    lookups: makeAgent(maxConnections.lookups),
    control: makeAgent(maxConnections.control),
  };
  const peerByKey = new Map<string, Peer>();

  const makePeer = (member: PeerAddress): Peer => {
    const caller = makeCaller(member, agents);
    const makeMethod =
      <Input, Output>(methodName: Method) =>
      (request: Input, callOptions: CallOptions = {}) =>
        callPeer<Output>(
          caller,
          { method: methodName, request, options: callOptions },
          { clock, member, onFreeSlots },
        );
    return {
      fresh: makeMethod('fresh'),
      lookup: makeMethod('lookup'),
      witness: makeMethod('witness'),
      views: makeMethod('views'),
      submit: makeMethod('submit'),
      hold: makeMethod('hold'),
      commit: makeMethod('commit'),
      release: makeMethod('release'),
      stop: makeMethod('stop'),
      ended: makeMethod('ended'),
      attempt: makeMethod('attempt'),
      changes: makeMethod('changes'),
      status: makeMethod('status'),
    };
  };

  return {
    peers(member) {
      const key = `${member.id}@${member.address}:${member.port}`;
      const peer = peerByKey.get(key) ?? makePeer(member);
      peerByKey.set(key, peer);
      return peer;
    },
    async close() {
      await Promise.all([agents.lookups.destroy(), agents.control.destroy()]);
    },
  };
}
