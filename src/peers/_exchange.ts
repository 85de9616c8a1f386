/**
 * An HTTP exchange with a peer that records whether any byte of the request may have been sent.
 */
import type { Agent, Dispatcher } from 'undici';

/** Whether any byte of a request may have been sent. */
export interface SendState {
  sent: boolean;
}

interface PeerRequest {
  url: string;
  body: string;
  signal?: AbortSignal;
  state: SendState;
}

/**
 * Sends a request and returns the text of the response. undici calls `onRequestStart` directly
 * before it writes the first byte, so nothing was sent if it was not called.
 */
export function sendRequest(
  agent: Agent,
  { url, body, signal, state }: PeerRequest,
): Promise<string> {
  const { origin, pathname, search } = new URL(url);
  const sendState = state;
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let controller: Dispatcher.DispatchController | undefined;
    const onAbort = () => {
      const reason = new Error('the call was given up');
      controller?.abort(reason);
      reject(reason);
    };
    const finish = (complete: () => void) => {
      signal?.removeEventListener('abort', onAbort);
      complete();
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
          else sendState.sent = true;
        },
        onResponseStart: () => undefined,
        onResponseData: (_controller, chunk) => chunks.push(chunk),
        onResponseEnd: () => finish(() => resolve(Buffer.concat(chunks).toString('utf8'))),
        onResponseError: (_controller, error) => finish(() => reject(error)),
      },
    );
  });
}
