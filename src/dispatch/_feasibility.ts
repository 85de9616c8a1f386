/**
 * Checks whether a request could fit on the configured fleet, and fills in its default size.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { RequestedSize, Size, Upstream, WorkKind } from '../schema/mod.ts';
import type { Fleet, Queue } from '../settings/mod.ts';

const defaultSize: Size = { processors: 1, memoryMb: 512, accelerators: 0, slots: 1 };

/** Completes a requested size with the defaults. */
export function completeSize(size: RequestedSize = {}): Size {
  return { ...defaultSize, ...size };
}

/** Counts the tasks of a size that fit on an empty worker. */
export function countFitting({ capacity }: Pick<Upstream, 'capacity'>, size: Size): number {
  const countPerResource = (available: number, required: number) =>
    required > 0 ? Math.floor(available / required + 1e-6) : Infinity;
  return Math.min(
    countPerResource(capacity.slots, size.slots),
    countPerResource(capacity.processors, size.processors),
    countPerResource(capacity.memoryMb, size.memoryMb),
    countPerResource(capacity.accelerators, size.accelerators),
  );
}

/** Lists the workers that a queue may use. */
export function listUpstreams(
  fleet: Fleet,
  { dataCentres }: Pick<Queue, 'dataCentres'>,
): Upstream[] {
  return Object.values(fleet.upstreams).filter(
    ({ dataCentre }) => dataCentres.length === 0 || dataCentres.includes(dataCentre),
  );
}

/** Finds the requested queue and checks that it accepts this kind of work. */
export function findQueue(
  fleet: Fleet,
  { team, queue, kind }: { team: string; queue: string; kind: WorkKind },
): Either<Failure, Queue> {
  const teamSettings = fleet.teams[team];
  if (!teamSettings)
    return Left(makeFailure(ErrorKind.TeamUnknown, `team ${team} is not in the settings`));
  const queueSettings = teamSettings.queues[queue];
  if (!queueSettings)
    return Left(makeFailure(ErrorKind.QueueUnknown, `team ${team} has no queue ${queue}`));
  if (!queueSettings.kinds.includes(kind)) {
    return Left(
      makeFailure(ErrorKind.QueueUnknown, `queue ${queue} takes no ${kind}`, {
        got: kind,
        expected: queueSettings.kinds,
      }),
    );
  }
  return Right(queueSettings);
}

/** Refuses a size that fits on no configured worker, even when empty. */
export function checkSize(fleet: Fleet, { queue, size }: { queue: Queue; size: Size }) {
  const upstreams = listUpstreams(fleet, queue);
  if (upstreams.some((upstream) => countFitting(upstream, size) >= 1)) return Right(queue);
  return Left(
    makeFailure(
      ErrorKind.SizeInfeasible,
      'no configured worker could hold the task, even when empty',
      {
        got: size,
      },
    ),
  );
}

/** Counts the tasks of a gang that fit in the largest domain when it is empty. */
export function countInLargestDomain(
  upstreams: Upstream[],
  { size, across }: { size: Size; across: 'rack' | 'data-centre' | 'fleet' },
): number {
  const domains = new Map<string, number>();
  upstreams.forEach((upstream) => {
    const domain = { rack: upstream.rack, 'data-centre': upstream.dataCentre, fleet: '' }[across];
    domains.set(domain, (domains.get(domain) ?? 0) + countFitting(upstream, size));
  });
  return Math.max(0, ...domains.values());
}
