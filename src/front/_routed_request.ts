/**
 * Finds out which queue a call is for and on whose behalf it is made.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Organisation, Queue } from '../model/mod.ts';
import { errorAnswer } from './_responses.ts';
import type { ClientAnswer, ClientCall } from './_responses.ts';
import type { RouteTable } from './routes.ts';

/** A call whose queue and organisation are known. */
export interface RoutedCall extends ClientCall {
  queue: Queue;
  organisation: string;
  jobId: string;
}

/**
 * Authorises a call; a Left holds the answer to one that is rejected.
 *
 * @example
 * authorise(call, table).map(({ queue }) => queue.name);
 */
export function authorise(call: ClientCall, table: RouteTable): Either<ClientAnswer, RoutedCall> {
  const path = call.path.split('?', 1)[0]!;
  const matched = table.match(call.host, path);
  if (!matched) return Left(errorAnswer(404, 'there is no such queue'));
  const { queue, rest } = matched;
  const organisation: Organisation | undefined =
    call.key === undefined ? undefined : table.organisationOf(call.key);
  if (!organisation && !queue.isPublic) return Left(errorAnswer(401, 'the key is not known'));
  return Right({ ...call, queue, organisation: organisation?.name ?? '', jobId: rest });
}
