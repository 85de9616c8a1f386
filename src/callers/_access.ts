/**
 * Identifies the team of a request and authorises its use of a queue.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { RequestContext } from '../http/mod.ts';
import type { KeyHolder, KeyVerifier } from '../keys/mod.ts';
import { defaultQueue } from '../settings/mod.ts';
import type { Fleet, Queue, Team } from '../settings/mod.ts';

/** The identity of a caller: the requested team, and the verified key if the request has one. */
export interface Identity {
  team: string;
  holder?: KeyHolder;
}

function parseBearerKey(header: string): string | undefined {
  return /^Bearer +(\S+) *$/i.exec(header)?.[1];
}

function findTeam(fleet: Fleet, name: string): Either<Failure, Team> {
  const team = Object.hasOwn(fleet.teams, name) ? fleet.teams[name] : undefined;
  return team
    ? Right(team)
    : failWith(ErrorKind.TeamUnknown, 'there is no such team', { got: name });
}

const failKeyMissing = <T>(team: string): Either<Failure, T> =>
  failWith(ErrorKind.KeyMissing, `this needs a key of team ${team}`, {
    expected: 'the header "authorization: Bearer KEY"',
  });

/**
 * Identifies the caller from the request headers.
 *
 * @example
 * const identity = await identify({ context, verifier, fleet: settings.current });
 */
export async function identify(options: {
  context: RequestContext;
  verifier: KeyVerifier;
  fleet: () => Fleet;
}): Outcome<Identity> {
  const { context, verifier, fleet } = options;
  const authorization = context.header('authorization');
  const requestedTeam = context.header('x-team');
  if (authorization === undefined) {
    if (requestedTeam === undefined) {
      return failWith(ErrorKind.KeyMissing, 'the request has no key', {
        expected: 'the header "authorization: Bearer KEY", or "x-team: TEAM" for an open queue',
      });
    }
    return findTeam(fleet(), requestedTeam).chain<Failure, Identity>(({ name, queues }) =>
      Object.values(queues).some(({ open }) => open) ? Right({ team: name }) : failKeyMissing(name),
    );
  }
  const key = parseBearerKey(authorization);
  if (key === undefined) {
    return failWith(ErrorKind.KeyRejected, 'the authorization header is not understood', {
      expected: 'the header "authorization: Bearer KEY"',
    });
  }
  const verified = await verifier.verify(key);
  return verified.chain<Failure, Identity>((holder) => {
    if (holder.owner === 'operator') {
      return failWith(ErrorKind.KeyRejected, 'an operator key does no work; use a key of the team');
    }
    const team = requestedTeam ?? holder.team;
    return findTeam(fleet(), team).map(({ name }) => ({ team: name, holder }));
  });
}

function checkQueueAccess({ team, holder }: Identity, { open }: Queue): Either<Failure, void> {
  if (open || (holder?.owner === 'team' && holder.team === team)) return Right(undefined);
  if (!holder) return failKeyMissing(team);
  const message = `the key is of another team; the queue takes only keys of team ${team}`;
  return failWith(ErrorKind.KeyRejected, message, {
    got: holder.owner === 'team' ? holder.team : holder.owner,
    expected: team,
  });
}

/**
 * Finds the queue and checks that the caller is allowed to use it.
 *
 * @example
 * authoriseQueue({ identity, queue: request.queue, fleet: settings.current() });
 */
export function authoriseQueue(options: {
  identity: Identity;
  queue?: string;
  fleet: Fleet;
}): Either<Failure, Queue> {
  const { identity, queue: name = defaultQueue, fleet } = options;
  return findTeam(fleet, identity.team).chain<Failure, Queue>(({ queues }) => {
    const queue = Object.hasOwn(queues, name) ? queues[name] : undefined;
    if (!queue) {
      // The error lists only queues that this caller may use.
      const visible = Object.values(queues).filter((other) =>
        checkQueueAccess(identity, other).isRight(),
      );
      const expected = `one of ${visible.map((other) => other.name).join(', ')}`;
      const message = `team ${identity.team} has no such queue`;
      return failWith(ErrorKind.QueueUnknown, message, { got: name, expected });
    }
    return checkQueueAccess(identity, queue).map(() => queue);
  });
}
