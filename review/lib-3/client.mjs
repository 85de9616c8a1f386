/* eslint-disable no-await-in-loop -- scripts wait step by step */
/**
 * A client of the system. It keeps the id of a job over its retries, comes back when it is told to, and
 * goes to another entry process each time.
 */
import { request as sendRequest } from 'node:http';

const deadlineMs = 3_000;
const maxAttempts = 5;
const msPerS = 1_000;
const retryDelayMs = 200;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Sends one request; resolves with status 0 without a response. */
export function call(address, { method, path, host, key, body }) {
  const [ip, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const request = sendRequest(
      {
        host: ip,
        port,
        method,
        path,
        agent: false,
        headers: {
          host,
          'x-deadline-ms': String(deadlineMs),
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...(text === ''
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          let parsed = {};
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString('utf8'));
          } catch {
            // The status alone counts.
          }
          resolve({ status: response.statusCode, body: parsed, headers: response.headers });
        });
        response.on('error', () => resolve({ status: 0, body: {}, headers: {} }));
      },
    );
    request.setTimeout(deadlineMs, () => request.destroy());
    request.on('error', () => resolve({ status: 0, body: {}, headers: {} }));
    request.end(text);
  });
}

/** Makes a client with a key; `addresses` returns the entry processes that it may reach. */
export function makeClient({ addresses, host, key, log }) {
  let next = 0;

  async function send(method, path, body) {
    const all = addresses();
    const address = all[next % all.length];
    next += 1;
    log('sent', { method, path, to: address, ...(body ? { body } : {}) });
    const response = await call(address, { method, path, host, key, body });
    log('answered', { method, path, by: address, status: response.status, body: response.body });
    return response;
  }

  return {
    send,
    /** Hands a job in; returns whether it was accepted. */
    async submit(path, job) {
      for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
        const { status, headers } = await send('POST', path, job);
        if (status >= 200 && status < 300) return true;
        if (status >= 400 && status < 500 && status !== 429) return false;
        await sleep(
          headers['retry-after'] ? Number(headers['retry-after']) * msPerS : retryDelayMs,
        );
      }
      return false;
    },
    /** Asks for the state of a job; undefined without a 200. */
    async getState(path) {
      for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
        const { status, body } = await send('GET', path);
        if (status === 200) return body.state;
        if (status === 410) return 'gone';
        await sleep(retryDelayMs);
      }
      return undefined;
    },
  };
}
