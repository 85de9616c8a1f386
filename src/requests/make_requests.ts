/**
 * Claims request ids with the witnesses, and answers as one.
 */
import { Left, Right } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { LookupAnswer, WitnessAnswer, WitnessQuestion } from '../schema/mod.ts';
import { makeHistory } from './_view_history.ts';
import { makeAnswerMemory, makeClaimMemory } from './_memory.ts';
import { decideClaim, witnessSets } from './quorum.ts';
import type { ClaimResult, RequestClaim, Requests } from './requests.ts';

/** Collaborators of the request claims. */
export interface RequestsParts {
  clock: Clock;
  peers: Peers;
  membership: Pick<Membership, 'id' | 'view' | 'recentViews' | 'subscribe'>;
  /** Claims that this process remembers as a witness. */
  capacity?: number;
}

const defaultCapacity = 200_000;
const witnessTimeoutMs = 250;

const keyOf = ({ team, request }: Pick<RequestClaim, 'team' | 'request'>) => `${team}/${request}`;

/**
 * Makes the request claims of a process.
 *
 * @example
 * const requests = makeRequests({ clock, peers, membership });
 * await requests.claim({ team: 'millers', request: 'r-1', claimant: 'l1@m1' });
 */
export function makeRequests(parts: RequestsParts): Requests {
  const { clock, peers, membership, capacity = defaultCapacity } = parts;
  const claims = makeClaimMemory({ clock, capacity });
  const answers = makeAnswerMemory();
  const history = makeHistory({ clock, peers, membership });

  const witness = (question: WitnessQuestion) => {
    const { claimant, recall, withdraw, membership: version } = question;
    const key = keyOf(question);
    if (recall) {
      const answer = answers.find(claimant);
      return Right<WitnessAnswer>({ verdict: 'repeat', ...(answer ? { answer } : {}) });
    }
    if (withdraw) {
      claims.withdraw(key, claimant);
      return Right<WitnessAnswer>({ verdict: 'first' });
    }
    const known = history.former().some((view) => view.version === version);
    // A claimant that is this far behind would ask witnesses that nobody else asks.
    if (version < membership.view().version && !known) {
      return Right<WitnessAnswer>({ verdict: 'other-view' });
    }
    const holder = claims.claim(key, claimant);
    if (holder === undefined) {
      return Left(
        makeFailure(ErrorKind.WitnessUnavailable, 'this witness can remember no further claim'),
      );
    }
    return Right<WitnessAnswer>(
      holder === claimant ? { verdict: 'first' } : { verdict: 'repeat', claimant: holder },
    );
  };

  const ask = async (id: string, question: WitnessQuestion): Outcome<WitnessAnswer> => {
    if (id === membership.id()) return witness(question);
    const found = membership.view().members.find((one) => one.id === id);
    if (!found) return Left(makeFailure(ErrorKind.PeerUnavailable, `witness ${id} is no member`));
    return peers(found).witness(question, { timeoutMs: witnessTimeoutMs });
  };

  const setsOf = (claim: RequestClaim) =>
    witnessSets(keyOf(claim), {
      members: membership.view().members.map(({ id }) => id),
      former: history.former(),
    });
  const questionOf = ({ team, request, claimant }: RequestClaim): WitnessQuestion => ({
    ...{ team, request, claimant },
    membership: membership.view().version,
  });

  const withdraw = (claim: RequestClaim) => {
    new Set(setsOf(claim).flat()).forEach((id) => {
      // A claim that is left behind only makes a repeat be refused.
      ask(id, { ...questionOf(claim), withdraw: true }).catch(() => undefined);
    });
  };

  const recall = async (
    claim: RequestClaim,
    claimant: string,
  ): Promise<LookupAnswer | undefined> => {
    const owner = claimant.slice(claimant.lastIndexOf('@') + 1);
    const answer = await ask(owner, { ...questionOf({ ...claim, claimant }), recall: true });
    return answer.toMaybe().extract()?.answer;
  };

  const collect = (claim: RequestClaim) =>
    new Promise<{ verdict: 'first' | 'repeat' | 'unavailable'; claimant?: string }>((resolve) => {
      const sets = setsOf(claim);
      const verdicts = new Map<string, WitnessAnswer['verdict'] | undefined>();
      new Set(sets.flat()).forEach((id) => {
        const onAnswer = (answer?: WitnessAnswer) => {
          verdicts.set(id, answer?.verdict);
          const verdict = decideClaim(sets, verdicts);
          const { claimant } = answer ?? {};
          if (verdict) resolve({ verdict, ...(claimant === undefined ? {} : { claimant }) });
        };
        ask(id, questionOf(claim))
          .then((answer) => onAnswer(answer.toMaybe().extract()))
          .catch(() => onAnswer());
      });
    });

  return {
    async claim(claim): Outcome<ClaimResult> {
      if (!(await history.complete())) {
        return Left(
          makeFailure(
            ErrorKind.WitnessUnavailable,
            'this process has joined and knows no former members',
          ),
        );
      }
      const { verdict, claimant } = await collect(claim);
      if (verdict === 'first') return Right({ verdict });
      if (verdict === 'unavailable') {
        return Left(
          makeFailure(
            ErrorKind.WitnessUnavailable,
            `no quorum of witnesses for request ${claim.request}`,
          ),
        );
      }
      // What this claim got from other witnesses would stay in the way of nobody's run.
      withdraw(claim);
      const answer = claimant === undefined ? undefined : await recall(claim, claimant);
      return Right({ verdict, ...(answer ? { answer } : {}) });
    },
    withdraw,
    finished: ({ claimant }, answer) => answers.keep(claimant, answer),
    witness,
    formerViews: history.answer,
    dump: () => ({ claims: claims.size(), answerBytes: answers.bytes() }),
  };
}
