/**
 * Commands over jobs, explanations and the state of processes.
 */
import type { Either } from 'purify-ts';

import type { Explanation } from '../dispatch/mod.ts';
import type { Job } from '../schema/mod.ts';
import { formatTable } from './_context.ts';
import type { Context } from './_context.ts';
import { useAnswer } from './exit.ts';
import type { Trouble } from './exit.ts';

type Ended = Promise<Either<Trouble, void>>;

function query(values: Record<string, string | undefined>): string {
  const given = Object.entries(values).filter((entry): entry is [string, string] =>
    Boolean(entry[1]),
  );
  return given.length > 0 ? `?${new URLSearchParams(given).toString()}` : '';
}

/** Lists jobs. */
export async function jobs(
  { client, out, err }: Context,
  filter: { team?: string; state?: string },
): Ended {
  const answer = await client.get<{ jobs: Job[]; missing: string[] }>(`/v1/jobs${query(filter)}`);
  return useAnswer(answer, ({ jobs: found, missing }) => {
    const rows = found.map(({ id, team, queue, kind, tasks, state, reason }) => [
      id,
      team,
      queue,
      kind,
      String(tasks),
      state,
      reason,
    ]);
    out(formatTable([['job', 'team', 'queue', 'kind', 'tasks', 'state', 'reason'], ...rows]));
    if (missing.length > 0) err(`Members that did not answer: ${missing.join(', ')}`);
  });
}

/** Cancels a job. */
export async function cancel(
  { client, out }: Context,
  { id, team }: { id: string; team?: string },
): Ended {
  const path = `/v1/jobs/${encodeURIComponent(id)}${query({ team })}`;
  const answer = await client.delete<Job>(path);
  return useAnswer(answer, ({ state, reason }) =>
    out(`${id}: ${state}${reason ? `, ${reason}` : ''}`),
  );
}

/** Says why a job or lookup waits, or where it ran. */
export async function explain({ client, out }: Context, id: string): Ended {
  const answer = await client.get<Explanation>(`/v1/explain/${encodeURIComponent(id)}`);
  return useAnswer(answer, ({ state, reasons }) => {
    out(`${id}: ${state}`);
    reasons.forEach(({ at, text }) => out(`  ${new Date(at).toISOString()}  ${text}`));
  });
}

/** Shows the state of a process as JSON. */
export async function showState({ client, out }: Context, member: string | undefined): Ended {
  const answer = await client.get<unknown>(`/v1/state${query({ member })}`);
  return useAnswer(answer, (dump) => out(JSON.stringify(dump, null, 2)));
}
