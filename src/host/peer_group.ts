/**
 * Calls to whichever other entry process can serve them: the scheduler's first, then the rest.
 */
import type { Either } from 'purify-ts';

import type { Member } from '../cell/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { ClientAnswer, ClientCall } from '../front/mod.ts';
import type { PeerClient } from './peers.ts';
import type { WishesMessage } from './operator_state.ts';

/** The other entry processes. */
export interface PeerGroup {
  /** Passes a client's call on. */
  relay(call: ClientCall): Outcome<ClientAnswer>;
  /** The newest of what some others know of the operator's wishes. */
  askWishes(): Promise<WishesMessage | undefined>;
}

const relayTries = 2;
const wishesAsked = 3;
const okStatus = 200;
const unavailableStatus = 503;
const unknownStatus = 504;

/** The status of an answer; a process that did not answer counts as one that could not serve. */
function statusOf(answer: Either<Failure, ClientAnswer>): number {
  return answer.caseOf({
    Left: ({ kind }) => (kind === ErrorKind.OutcomeUnknown ? unknownStatus : unavailableStatus),
    Right: ({ status }) => status,
  });
}

/**
 * Makes the group; `others` lists the other processes, those to be asked first at the head.
 *
 * @example
 * const answer = await group.relay(call);
 */
export function makePeerGroup(peers: PeerClient, others: () => Member[]): PeerGroup {
  return {
    async relay(call) {
      let isUnknown = false;
      for (const { address } of others().slice(0, relayTries)) {
        const answer = await peers.relay(address, call);
        const status = statusOf(answer);
        const isServed = status !== unavailableStatus && status !== unknownStatus;
        // What an earlier process may have done is not undone by the refusal of the next one.
        if (isServed && (!isUnknown || status === okStatus)) return answer;
        isUnknown ||= status === unknownStatus && call.method !== 'GET';
      }
      return failWith(
        isUnknown ? ErrorKind.OutcomeUnknown : ErrorKind.PeerUnavailable,
        'no other process could serve the call',
      );
    },

    async askWishes() {
      const asked = others().slice(0, wishesAsked);
      const answers = await Promise.all(asked.map(({ address }) => peers.wishes(address)));
      const messages = answers.flatMap((answer) => answer.toMaybe().toList());
      return messages.sort((a, b) => b.version - a.version || a.ageMs - b.ageMs)[0];
    },
  };
}
