/**
 * Load on the processes of a small site: each request has an answer of its own, so that the starts on
 * the workers show what became of it.
 */
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { CallerResponse, Deployment, EntryProcess } from '../deployment/mod.ts';
import type { StartRecord } from '../standins/mod.ts';
import { callerOf, generousMs } from './small_site.ts';

/** A lookup and what its caller saw. */
export interface SentLookup {
  answer: string;
  idempotent: boolean;
  entry: EntryProcess;
  sentAt: number;
  result?: CallerResponse;
  /** The code of a connection error, in place of a result. */
  broken?: string;
}

/** Lookups that are being sent. */
export interface LookupLoad {
  sent: SentLookup[];
  stop(): Promise<void>;
}

type Team = 'many' | 'few';

const retryMs = 200;
const pauseMs = 10;

function codeOf(error: unknown): string {
  const { cause, message } = error as { cause?: { code?: string; message?: string } } & Error;
  return cause?.code ?? cause?.message ?? message;
}

/** Sends one lookup and notes what came of it. */
export async function sendLookup(
  deployment: Deployment,
  options: { entry: EntryProcess; team: Team; answer: string; runMs: number; idempotent: boolean },
): Promise<SentLookup> {
  const { entry, team, answer, runMs, idempotent } = options;
  const lookup: SentLookup = { answer, idempotent, entry, sentAt: systemClock.now() };
  const request = { idempotent, deadlineMs: 10_000, body: { runMs, answer } };
  return callerOf(deployment, { entry, team })
    .lookup(request)
    .then(
      (result) => ({ ...lookup, result }),
      (error: unknown) => ({ ...lookup, broken: codeOf(error) }),
    );
}

/** Sends lookups to each process, every second one idempotent, until it is stopped. */
export function startLookups(
  deployment: Deployment,
  options: { entries: EntryProcess[]; team: Team; perEntry?: number; runMs?: number },
): LookupLoad {
  const { entries, team, perEntry = 2, runMs = 30 } = options;
  const sent: SentLookup[] = [];
  let stopped = false;
  let next = 0;
  const loop = async (entry: EntryProcess) => {
    while (!stopped) {
      next += 1;
      const answer = `${team}-lookup-${next}`;
      const idempotent = next % 2 === 0;
      sent.push(await sendLookup(deployment, { entry, team, answer, runMs, idempotent }));
      await systemClock.sleep(pauseMs);
    }
  };
  const loops = entries.flatMap((entry) => Array.from({ length: perEntry }, () => loop(entry)));
  return {
    sent,
    async stop() {
      stopped = true;
      await Promise.all(loops);
    },
  };
}

/** Submits a job under a request id, at one process after another, until one has accepted it. */
export async function submitUntilAccepted(
  deployment: Deployment,
  options: { entries: EntryProcess[]; team: Team; answer: string; runMs: number },
): Promise<string> {
  const { entries, team, answer, runMs } = options;
  const deadline = systemClock.now() + generousMs;
  for (let turn = 0; ; turn++) {
    const entry = entries[turn % entries.length] as EntryProcess;
    const job = { kind: 'batch', body: { runMs, answer } };
    const seen = await callerOf(deployment, { entry, team })
      .submit(job, { request: answer })
      .catch((error: unknown) => codeOf(error));
    if (typeof seen !== 'string' && seen.status === 202) return String(seen.body.id);
    if (systemClock.now() > deadline) throw new Error(`${answer}: ${JSON.stringify(seen)}`);
    await systemClock.sleep(retryMs);
  }
}

/** Asserts that lookups ran as often as their callers were told. */
export function assertTruthful(sent: SentLookup[], starts: StartRecord[]): void {
  const counts = new Map<unknown, number>();
  starts.forEach(({ answer }) => counts.set(answer, (counts.get(answer) ?? 0) + 1));
  sent.forEach(({ answer, idempotent, result }) => {
    const runs = counts.get(answer) ?? 0;
    const detail = `${answer} ran ${runs} times: ${JSON.stringify(result)}`;
    if (!idempotent) assert.ok(runs <= 1, detail);
    if (result?.status === 200) {
      assert.ok(runs >= 1, detail);
      assert.is((result.body.body as { answer?: unknown }).answer, answer, detail);
    } else if ((result?.body.error as { ran?: string } | undefined)?.ran === 'no') {
      assert.is(runs, 0, detail);
    }
  });
}
