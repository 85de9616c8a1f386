/**
 * Sends requests to the other entry processes: first to the scheduler's, then to the rest.
 */
import type { Either } from 'purify-ts';

import type { Member } from '../cell/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { ClientRequest, ClientResponse } from '../front/mod.ts';
import type { PeerClient } from './peer_client.ts';
import type { OperatorStateMessage } from './operator_state.ts';

/** The other entry processes. */
export interface PeerGroup {
  /** Relays a client's request. */
  relay(request: ClientRequest): Outcome<ClientResponse>;
  /** Gets the operator state from several processes and returns the most recent view. */
  fetchOperatorState(): Promise<OperatorStateMessage | undefined>;
}

const maxRelayAttempts = 2;
const maxPeersQueried = 3;
const okStatus = 200;
const unavailableStatus = 503;
const unknownStatus = 504;

/** Returns the status of a response, or the status that stands for a missing response. */
function toStatus(response: Either<Failure, ClientResponse>): number {
  return response.caseOf({
    Left: ({ kind }) => (kind === ErrorKind.OutcomeUnknown ? unknownStatus : unavailableStatus),
    Right: ({ status }) => status,
  });
}

/**
 * Makes the group; `otherMembers` lists the other processes in the order in which they are tried.
 *
 * @example
 * const response = await group.relay(request);
 */
export function makePeerGroup(peers: PeerClient, otherMembers: () => Member[]): PeerGroup {
  return {
    async relay(request) {
      let isOutcomeUnknown = false;
      for (const { address } of otherMembers().slice(0, maxRelayAttempts)) {
        const response = await peers.relay(address, request);
        const status = toStatus(response);
        const isServed = status !== unavailableStatus && status !== unknownStatus;
        // An earlier process may have executed the request even though this one refuses it.
        if (isServed && (!isOutcomeUnknown || status === okStatus)) return response;
        isOutcomeUnknown ||= status === unknownStatus && request.method !== 'GET';
      }
      return failWith(
        isOutcomeUnknown ? ErrorKind.OutcomeUnknown : ErrorKind.PeerUnavailable,
        'no other process could serve the request',
      );
    },

    async fetchOperatorState() {
      const members = otherMembers().slice(0, maxPeersQueried);
      const responses = await Promise.all(
        members.map(({ address }) => peers.fetchOperatorState(address)),
      );
      const messages = responses.flatMap((response) => response.toMaybe().toList());
      return messages.sort((a, b) => a.ageMs - b.ageMs || b.version - a.version)[0];
    },
  };
}
