/**
 * A client of the operators' HTTP interface.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { request } from 'undici';

import type {
  SettingsChange,
  SettingsHistory,
  SettingsProposal,
  SettingsTree,
} from '../schema/mod.ts';
import { ExitCode } from './exit.ts';
import type { Trouble } from './exit.ts';

/** A result of the server, or why there is none. */
export type Answer<T> = Promise<Either<Trouble, T>>;

/** Calls one server with one operator key. */
export interface Client {
  get<T>(path: string): Answer<T>;
  delete<T>(path: string): Answer<T>;
  settings(): Answer<SettingsTree>;
  history(limit: number): Answer<SettingsHistory>;
  propose(proposal: SettingsProposal): Answer<SettingsChange>;
}

interface ErrorBody {
  error?: { kind?: string; message?: string; ran?: string; got?: unknown; expected?: unknown };
}

const timeoutMs = 15_000;

function describe(error: unknown): string {
  if (error instanceof AggregateError && error.errors.length > 0) return describe(error.errors[0]);
  return error instanceof Error ? error.message : String(error);
}

function readFailure(status: number, text: string): Trouble {
  let body: ErrorBody = {};
  try {
    body = JSON.parse(text) as ErrorBody;
  } catch {
    // Something else than an entry process answered; its text is shown as it is.
  }
  if (!body.error) {
    const message = `the server answered ${status}, not as an entry process does: ${text.slice(0, 200)}`;
    return { code: ExitCode.Refused, message };
  }
  const { kind, message = '', ran, got, expected } = body.error;
  // The faults of settings are in the message; `got` repeats them in another form.
  const details = [
    got === undefined || kind === 'settings-invalid' ? '' : `got ${JSON.stringify(got)}`,
    expected === undefined ? '' : `expected ${String(expected)}`,
    ran === 'unknown' ? 'the request may have taken effect' : '',
  ].filter(Boolean);
  const told = [`${kind ?? 'failure'}: ${message}`, ...details].join('; ');
  return { code: ExitCode.Refused, message: told, kind };
}

/**
 * Makes a client.
 *
 * @example
 * const client = makeClient({ server: 'http://127.0.0.1:8081', key });
 * await client.settings();
 */
export function makeClient({ server, key }: { server: string; key?: string }): Client {
  const call = async <T>(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Answer<T> => {
    if (!key) {
      const message = 'an operator key is needed: --key KEY or the variable DOGWOOD_KEY';
      return Left({ code: ExitCode.Wrong, message });
    }
    let url: URL;
    try {
      url = new URL(path, server);
    } catch {
      return Left({ code: ExitCode.Wrong, message: `--server ${server} is not an HTTP address` });
    }
    try {
      const response = await request(url, {
        method,
        headers: { authorization: `Bearer ${key}` },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        // A command makes few calls; a kept connection would only delay its end.
        reset: true,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      const text = await response.body.text();
      if (response.statusCode >= 400) return Left(readFailure(response.statusCode, text));
      return Right(JSON.parse(text) as T);
    } catch (error) {
      const { code } = error as { code?: string };
      const mayHaveRun = method !== 'GET' && code !== 'ECONNREFUSED';
      const hint = mayHaveRun ? '; the request may have taken effect, see "dogwood history"' : '';
      const message = `no entry process answers at ${server}: ${describe(error)}${hint}`;
      return Left({ code: ExitCode.Unreachable, message });
    }
  };
  return {
    get: (path) => call('GET', path),
    delete: (path) => call('DELETE', path),
    settings: () => call('GET', '/v1/settings'),
    history: (limit) => call('GET', `/v1/settings/history?limit=${limit}`),
    propose: (proposal) => call('POST', '/v1/settings', proposal),
  };
}
