/**
 * One HTTP exchange with a peer, which knows whether a byte of the request may have been sent.
 */
import type { Agent, Dispatcher } from 'undici';

/** What happened to a call so far. */
export interface CallState {
  sent: boolean;
}

interface Exchange {
  url: string;
  body: string;
  signal?: AbortSignal;
  state: CallState;
}

/**
 * Sends a request and returns the answer's text. undici reports the start of a request directly
 * before it writes the first byte; without that report nothing was sent.
 */
export function exchange(agent: Agent, { url, body, signal, state }: Exchange): Promise<string> {
  const { origin, pathname, search } = new URL(url);
  const mark = state;
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let controller: Dispatcher.DispatchController | undefined;
    const onAbort = () => {
      const reason = new Error('the call was given up');
      controller?.abort(reason);
      reject(reason);
    };
    const finish = (settle: () => void) => {
      signal?.removeEventListener('abort', onAbort);
      settle();
    };
    if (signal?.aborted) {
      reject(new Error('the call was given up'));
      return;
    }
    signal?.addEventListener('abort', onAbort, { once: true });
    agent.dispatch(
      {
        origin,
        path: `${pathname}${search}`,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body,
      },
      {
        onRequestStart(started) {
          controller = started;
          if (signal?.aborted) started.abort(new Error('the call was given up'));
          else mark.sent = true;
        },
        onResponseStart: () => undefined,
        onResponseData: (_controller, chunk) => chunks.push(chunk),
        onResponseEnd: () => finish(() => resolve(Buffer.concat(chunks).toString('utf8'))),
        onResponseError: (_controller, error) => finish(() => reject(error)),
      },
    );
  });
}
