/**
 * Commands that list, cancel and explain jobs, and show the state of processes.
 */
import type { Either } from 'purify-ts';

import type { Explanation } from '../dispatch/mod.ts';
import type { Job } from '../schema/mod.ts';
import { formatTable } from './_context.ts';
import type { CommandContext } from './_context.ts';
import { consumeResult } from './exit.ts';
import type { CommandFailure } from './exit.ts';

type AsyncResult = Promise<Either<CommandFailure, void>>;

function formatQuery(values: Record<string, string | undefined>): string {
  const definedEntries = Object.entries(values).filter((entry): entry is [string, string] =>
    Boolean(entry[1]),
  );
  return definedEntries.length > 0 ? `?${new URLSearchParams(definedEntries).toString()}` : '';
}

/** Lists jobs. */
export async function listJobs(
  { client, out, err }: CommandContext,
  filter: { team?: string; state?: string },
): AsyncResult {
  const response = await client.get<{ jobs: Job[]; missing: string[] }>(
    `/v1/jobs${formatQuery(filter)}`,
  );
  return consumeResult(response, ({ jobs: foundJobs, missing }) => {
    const rows = foundJobs.map(({ id, team, queue, kind, tasks, state, reason }) => [
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
export async function cancelJob(
  { client, out }: CommandContext,
  { id, team }: { id: string; team?: string },
): AsyncResult {
  const path = `/v1/jobs/${encodeURIComponent(id)}${formatQuery({ team })}`;
  const response = await client.delete<Job>(path);
  return consumeResult(response, ({ state, reason }) =>
    out(`${id}: ${state}${reason ? `, ${reason}` : ''}`),
  );
}

/** Explains why a job or lookup waits, or where it ran. */
export async function explainJob({ client, out }: CommandContext, id: string): AsyncResult {
  const response = await client.get<Explanation>(`/v1/explain/${encodeURIComponent(id)}`);
  return consumeResult(response, ({ state, reasons }) => {
    out(`${id}: ${state}`);
    reasons.forEach(({ at, text }) => out(`  ${new Date(at).toISOString()}  ${text}`));
  });
}

/** Shows the state of a process as JSON. */
export async function showState(
  { client, out }: CommandContext,
  member: string | undefined,
): AsyncResult {
  const response = await client.get<unknown>(`/v1/state${formatQuery({ member })}`);
  return consumeResult(response, (processState) => out(JSON.stringify(processState, null, 2)));
}
