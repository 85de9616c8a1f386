/**
 * Claims request ids with the witnesses, and responds to other processes as a witness.
 */
import { Left, Right } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { LookupAnswer, WitnessAnswer, WitnessQuestion } from '../schema/mod.ts';
import { makeViewHistory } from './_history.ts';
import { makeClaimStore, makeResponseCache } from './_memory.ts';
import { decideClaim, witnessSets } from './quorum.ts';
import type { ClaimResult, RequestClaim, Requests } from './requests.ts';

/** Options of `makeRequests`. */
export interface RequestsOptions {
  clock: Clock;
  peers: Peers;
  membership: Pick<Membership, 'id' | 'view' | 'recentViews' | 'subscribe'>;
  /** Maximum number of claims that this process keeps as a witness. */
  capacity?: number;
}

const defaultCapacity = 200_000;
const witnessTimeoutMs = 250;

const claimKey = ({ team, request }: Pick<RequestClaim, 'team' | 'request'>) =>
  `${team}/${request}`;

/**
 * Makes the detection of repeated request ids for a process.
 *
 * @example
 * const requests = makeRequests({ clock, peers, membership });
 * await requests.claim({ team: 'millers', request: 'r-1', claimant: 'l1@m1' });
 */
export function makeRequests(options: RequestsOptions): Requests {
  const { clock, peers, membership, capacity = defaultCapacity } = options;
  const claims = makeClaimStore({ clock, capacity });
  const responses = makeResponseCache();
  const history = makeViewHistory({ clock, peers, membership });

  const respondAsWitness = (question: WitnessQuestion) => {
    const { claimant, recall, withdraw, membership: version } = question;
    const key = claimKey(question);
    if (recall) {
      const response = responses.find(claimant);
      return Right<WitnessAnswer>({ verdict: 'repeat', ...(response ? { answer: response } : {}) });
    }
    if (withdraw) {
      claims.withdraw(key, claimant);
      return Right<WitnessAnswer>({ verdict: 'first' });
    }
    const isKnownView = history.former().some((view) => view.version === version);
    // A claimant with such an old view would ask witnesses that no other process asks.
    if (version < membership.view().version && !isKnownView) {
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

  const askWitness = async (id: string, question: WitnessQuestion): Outcome<WitnessAnswer> => {
    if (id === membership.id()) return respondAsWitness(question);
    const member = membership.view().members.find((each) => each.id === id);
    if (!member)
      return Left(makeFailure(ErrorKind.PeerUnavailable, `witness ${id} is not a member`));
    return peers(member).witness(question, { timeoutMs: witnessTimeoutMs });
  };

  const findWitnessSets = (claim: RequestClaim) =>
    witnessSets(claimKey(claim), {
      members: membership.view().members.map(({ id }) => id),
      former: history.former(),
    });
  const makeQuestion = ({ team, request, claimant }: RequestClaim): WitnessQuestion => ({
    ...{ team, request, claimant },
    membership: membership.view().version,
  });

  const withdraw = (claim: RequestClaim) => {
    new Set(findWitnessSets(claim).flat()).forEach((id) => {
      // A claim that cannot be withdrawn only causes a repeat to be refused.
      askWitness(id, { ...makeQuestion(claim), withdraw: true }).catch(() => undefined);
    });
  };

  const fetchResponse = async (
    claim: RequestClaim,
    claimant: string,
  ): Promise<LookupAnswer | undefined> => {
    const owner = claimant.slice(claimant.lastIndexOf('@') + 1);
    const response = await askWitness(owner, {
      ...makeQuestion({ ...claim, claimant }),
      recall: true,
    });
    return response.toMaybe().extract()?.answer;
  };

  const collectVerdicts = (claim: RequestClaim) =>
    new Promise<{ verdict: 'first' | 'repeat' | 'unavailable'; claimant?: string }>((resolve) => {
      const sets = findWitnessSets(claim);
      const verdicts = new Map<string, WitnessAnswer['verdict'] | undefined>();
      new Set(sets.flat()).forEach((id) => {
        const handleResponse = (response?: WitnessAnswer) => {
          verdicts.set(id, response?.verdict);
          const verdict = decideClaim(sets, verdicts);
          const { claimant } = response ?? {};
          if (verdict) resolve({ verdict, ...(claimant === undefined ? {} : { claimant }) });
        };
        askWitness(id, makeQuestion(claim))
          .then((response) => handleResponse(response.toMaybe().extract()))
          .catch(() => handleResponse());
      });
    });

  return {
    async claim(claim): Outcome<ClaimResult> {
      if (!(await history.ensureComplete())) {
        return Left(
          makeFailure(
            ErrorKind.WitnessUnavailable,
            'this process has joined and knows no former members',
          ),
        );
      }
      const { verdict, claimant } = await collectVerdicts(claim);
      if (verdict === 'first') return Right({ verdict });
      if (verdict === 'unavailable') {
        return Left(
          makeFailure(
            ErrorKind.WitnessUnavailable,
            `no quorum of witnesses for request ${claim.request}`,
          ),
        );
      }
      // Other witnesses may have recorded this claim. It would block later claims for no lookup.
      withdraw(claim);
      const response = claimant === undefined ? undefined : await fetchResponse(claim, claimant);
      return Right({ verdict, ...(response ? { answer: response } : {}) });
    },
    withdraw,
    storeResponse: ({ claimant }, response) => responses.add(claimant, response),
    respondAsWitness,
    formerViews: history.respond,
    dump: () => ({ claims: claims.size(), answerBytes: responses.bytes() }),
  };
}
