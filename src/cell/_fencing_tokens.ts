/**
 * Fencing tokens of a term: a range of its own for each epoch, above those of all earlier epochs.
 *
 * A worker rejects calls with a lower token than the highest it has seen. Each session of a worker link
 * takes a new token, so that the worker also rejects late calls of earlier sessions.
 */

/** Number of sessions of all worker links in one term. */
const tokensPerEpoch = 1_000_000;

/** Dependencies of {@link makeFencingTokens}. */
export interface FencingTokenOptions {
  epoch: number;
  /** Called when all tokens of the epoch are taken; the last one is returned again. */
  onUsedUp(): void;
}

/**
 * Makes a function that returns a higher token with each call.
 *
 * @example
 * const nextToken = makeFencingTokens({ epoch: 4, onUsedUp: () => term.end('no fencing tokens left') });
 */
export function makeFencingTokens({ epoch, onUsedUp }: FencingTokenOptions): () => number {
  const lastToken = (epoch + 1) * tokensPerEpoch - 1;
  let token = epoch * tokensPerEpoch - 1;
  return () => {
    if (token === lastToken) onUsedUp();
    else token += 1;
    return token;
  };
}
