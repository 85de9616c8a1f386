/**
 * Clients of peers over `trpc`, with kept connections.
 */
import { createTRPCClient, httpLink } from '@trpc/client';
import { Left, Right } from 'purify-ts';
import { Agent } from 'undici';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Member } from '../schema/mod.ts';
import { exchange } from './_exchange.ts';
import type { CallState } from './_exchange.ts';
import type { CallOptions, Peer, Peers } from './peers.ts';
import { peerPath } from './router.ts';
import type { Envelope, PeerRouter } from './router.ts';

type Method = keyof Peer;

const timeouts: Readonly<Record<Method, number>> = {
  fresh: 300,
  lookup: 10_000,
  witness: 250,
  views: 250,
  // Longer than the write of the job may take at the peer, so that its answer comes first.
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

// Below the server's time, so that a request never meets a connection that is being closed.
const idleMs = 30_000;
const connectTimeoutMs = 500;
// Lookups hold a connection while they run; other calls use connections of their own.
const maxConnections = { lookups: 256, control: 8 };

/** The clients of all peers, and what closes their connections. */
export interface PeerClients {
  peers: Peers;
  close(): Promise<void>;
}

type Members = Pick<Member, 'id' | 'address' | 'port'>;

function makeAgent(connections: number): Agent {
  return new Agent({
    connections,
    pipelining: 1,
    keepAliveTimeout: idleMs,
    keepAliveMaxTimeout: idleMs,
    connect: { timeout: connectTimeoutMs, noDelay: true },
  });
}

function readEnvelope<A>({ value, failure: failed }: Envelope) {
  return failed ? Left(failed) : Right(value as A);
}

function makeCaller(member: Members, agents: { lookups: Agent; control: Agent }) {
  const states = new Map<string, CallState>();
  let sequence = 0;
  const client = createTRPCClient<PeerRouter>({
    links: [
      httpLink({
        url: `http://${member.address}:${member.port}${peerPath}`,
        headers: ({ op }) => ({ call: String(op.context.call) }),
        async fetch(url, init) {
          // The header names the call for this function only; it isn't sent.
          const { call = '' } = (init?.headers ?? {}) as { call?: string };
          const state = states.get(call) ?? { sent: true };
          const text = await exchange(
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
  return async (method: Method, question: unknown, signal: AbortSignal) => {
    sequence += 1;
    const call = String(sequence);
    const state: CallState = { sent: false };
    states.set(call, state);
    try {
      const mutate = client[method].mutate as (
        input: unknown,
        options: { signal: AbortSignal; context: Record<string, unknown> },
      ) => Promise<Envelope>;
      return { envelope: await mutate(question, { signal, context: { call } }) };
    } catch (error) {
      return { error, sent: state.sent };
    } finally {
      states.delete(call);
    }
  };
}

async function callPeer<A>(
  caller: ReturnType<typeof makeCaller>,
  { method, question, options }: { method: Method; question: unknown; options: CallOptions },
  parts: { clock: Clock; member: Members; onRoom: (member: string, room: number) => void },
): Outcome<A> {
  const { clock, member, onRoom } = parts;
  const { timeoutMs = timeouts[method], signal } = options;
  const stop = new AbortController();
  const over = new AbortController();
  const abort = () => stop.abort();
  if (signal?.aborted) abort();
  signal?.addEventListener('abort', abort, { once: true });
  const timer = clock.sleep(timeoutMs, over.signal).then(abort);
  const answer = await caller(method, question, stop.signal);
  over.abort();
  signal?.removeEventListener('abort', abort);
  await timer;
  if (answer.envelope) {
    onRoom(member.id, answer.envelope.room);
    return readEnvelope<A>(answer.envelope);
  }
  const message = `${method} to peer ${member.id}: ${String(answer.error)}`;
  return Left(
    makeFailure(answer.sent ? ErrorKind.OutcomeUnknown : ErrorKind.PeerUnavailable, message),
  );
}

/**
 * Makes the clients of all peers. `onRoom` receives the free slots that each answer carries.
 *
 * @example
 * const { peers, close } = makePeerClients({ clock, onRoom: (member, room) => {} });
 * await peers(member).fresh({ member: 'm1', settings: 4, membership: 2 });
 */
export function makePeerClients(options: {
  clock: Clock;
  onRoom?: (member: string, room: number) => void;
}): PeerClients {
  const { clock, onRoom = () => undefined } = options;
  const agents = {
    lookups: makeAgent(maxConnections.lookups),
    control: makeAgent(maxConnections.control),
  };
  const known = new Map<string, Peer>();

  const makePeer = (member: Members): Peer => {
    const caller = makeCaller(member, agents);
    const method =
      <Q, A>(name: Method) =>
      (question: Q, callOptions: CallOptions = {}) =>
        callPeer<A>(
          caller,
          { method: name, question, options: callOptions },
          { clock, member, onRoom },
        );
    return {
      fresh: method('fresh'),
      lookup: method('lookup'),
      witness: method('witness'),
      views: method('views'),
      submit: method('submit'),
      hold: method('hold'),
      commit: method('commit'),
      release: method('release'),
      stop: method('stop'),
      ended: method('ended'),
      attempt: method('attempt'),
      changes: method('changes'),
      status: method('status'),
    };
  };

  return {
    peers(member) {
      const key = `${member.id}@${member.address}:${member.port}`;
      const found = known.get(key) ?? makePeer(member);
      known.set(key, found);
      return found;
    },
    async close() {
      await Promise.all([agents.lookups.destroy(), agents.control.destroy()]);
    },
  };
}
