/**
 * Finds the queue and the organisation of a request, and rejects requests without a valid key.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Organisation, Queue, Resources } from '../model/mod.ts';
import { respondError } from './_responses.ts';
import type { ClientRequest, ClientResponse } from './_responses.ts';
import type { RouteTable } from './routes.ts';

/** A request whose queue and organisation are known. */
export interface RoutedRequest extends ClientRequest {
  queue: Queue;
  organisation: string;
  /** Upper limit of the organisation; undefined for a request without one. */
  upperLimit: Resources | undefined;
  jobId: string;
}

/**
 * Authorises a request; a Left holds the response to one that is rejected.
 *
 * @example
 * authorise(request, routeTable).map(({ queue }) => queue.name);
 */
export function authorise(
  request: ClientRequest,
  routeTable: RouteTable,
): Either<ClientResponse, RoutedRequest> {
  const path = request.path.split('?', 1)[0]!;
  const matched = routeTable.matchPath(request.host, path);
  if (!matched) return Left(respondError(404, 'there is no such queue'));
  const { queue, rest } = matched;
  const organisation: Organisation | undefined =
    request.key === undefined ? undefined : routeTable.findOrganisation(request.key);
  if (!organisation && !queue.isPublic) return Left(respondError(401, 'the key is not known'));
  return Right({
    ...request,
    queue,
    organisation: organisation?.name ?? '',
    upperLimit: organisation?.upperLimit,
    jobId: rest,
  });
}
