/**
 * A network for randomised runs: every exchange between a process and the table service, a worker or
 * a peer passes one `call`, where it can be delayed, lost, duplicated or reordered. Each process has
 * a gate, which holds back everything that reaches it while it is paused, and for good once it is dead.
 */
import type { Either } from 'purify-ts';

import type { Clock, Random, VirtualClock } from '../clock/mod.ts';
import { failWith } from '../errors/mod.ts';
import type { Failure, ErrorKind, Outcome } from '../errors/mod.ts';

/** Faults of the way from one end to the other. */
export interface Way {
  /** Messages of this direction are lost. */
  lost: boolean;
  /** Connections are refused, so that the caller knows that nothing was sent. */
  refused: boolean;
  slowMs: number;
  /** Messages arrive a second time, later. */
  duplicate: boolean;
}

/** Holds back what reaches a process. */
export interface Gate {
  pause(): void;
  resume(): void;
  kill(): void;
  pass(): Promise<void>;
  isDead(): boolean;
  isOpen(): boolean;
}

const forever = () => undefined;

/** Makes an open gate. */
export function makeGate(): Gate {
  let waiting: (() => void)[] = [];
  let open = true;
  let dead = false;
  return {
    pause() {
      open = false;
    },
    resume() {
      if (dead) return;
      open = true;
      const all = waiting;
      waiting = [];
      all.forEach((resolve) => resolve());
    },
    kill() {
      dead = true;
      open = false;
      waiting = [];
    },
    pass: () =>
      open
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiting.push(resolve);
          }),
    isDead: () => dead,
    isOpen: () => open,
  };
}

/** The clock as a process sees it: timers fire only while it runs, and its wall clock can step. */
export function gatedClock(clock: Clock, gate: Gate, step: { wallMs: number }): Clock {
  return {
    now: clock.now,
    wallTime: () => clock.wallTime() + step.wallMs,
    async sleep(ms, signal) {
      await clock.sleep(ms, signal);
      await gate.pass();
    },
    startTimer(ms, callback) {
      let isCancelled = false;
      const fire = async () => {
        await gate.pass();
        if (!isCancelled) callback();
      };
      const cancel = clock.startTimer(ms, () => {
        fire().catch(() => undefined);
      });
      return () => {
        isCancelled = true;
        cancel();
      };
    },
  };
}

/** One exchange. */
export interface Call<T> {
  from: string;
  to: string;
  gate: Gate;
  timeoutMs: number;
  run: () => Either<Failure, T> | Promise<Either<Failure, T>>;
  refusedKind: ErrorKind;
  unknownKind: ErrorKind;
  /** The exchange that the message belongs to. */
  name?: string;
}

/** A step of an exchange: before the request travels, or after it took effect. */
export type Tap = (
  step: 'request' | 'effect',
  call: { name: string; from: string; to: string },
) => void;

/** The network. */
export interface Network {
  /** Hears of each step of each exchange. */
  tap: Tap;
  way(from: string, to: string): Way;
  call<T>(call: Call<T>): Outcome<T>;
  heal(): void;
}

/** Makes a network whose latencies come from the seed. */
export function makeNetwork({ clock, random }: { clock: VirtualClock; random: Random }): Network {
  const taps: { tap: Tap } = { tap: () => undefined };
  const ways = new Map<string, Way>();
  const way = (from: string, to: string) => {
    const key = `${from}>${to}`;
    const found = ways.get(key) ?? { lost: false, refused: false, slowMs: 0, duplicate: false };
    ways.set(key, found);
    return found;
  };
  const travel = ({ slowMs }: Way) => clock.sleep(1 + random() * 2 + slowMs * (0.5 + random()));

  const exchange = async <T>({
    from,
    to,
    run,
    name = '',
  }: Call<T>): Promise<Either<Failure, T>> => {
    taps.tap('request', { name, from, to });
    const there = way(from, to);
    const never = new Promise<never>(forever);
    await travel(there);
    if (there.lost) return never;
    if (there.duplicate) {
      clock
        .sleep(random() * 400)
        .then(() => run())
        .catch(() => undefined);
    }
    const answer = await run();
    taps.tap('effect', { name, from, to });
    const back = way(to, from);
    await travel(back);
    return back.lost ? never : answer;
  };

  return Object.assign(taps, {
    way,
    async call<T>(call: Call<T>) {
      const { from, to, gate, timeoutMs, refusedKind, unknownKind } = call;
      const stop = new AbortController();
      const timeout = clock.sleep(timeoutMs, stop.signal).then(() => undefined);
      const refused = way(from, to).refused || gate.isDead();
      const work = refused
        ? clock.sleep(1).then(() => failWith(refusedKind, `${to} refused the connection`))
        : exchange(call);
      const answer = await Promise.race([work, timeout]);
      stop.abort();
      await gate.pass();
      return answer ?? failWith<T>(unknownKind, `no answer of ${to} within ${timeoutMs} ms`);
    },
    heal() {
      ways.forEach((entry) =>
        Object.assign(entry, { lost: false, refused: false, slowMs: 0, duplicate: false }),
      );
    },
  } satisfies Omit<Network, 'tap'>);
}
