/**
 * Handlers of the requests that peers send to this process.
 */
import { Right } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Peer } from '../peers/mod.ts';
import type { Core } from './core.ts';

const failUnknownSection = (section: string) =>
  failWith(ErrorKind.NotFound, 'there is no such section of the state', { got: section });

/** Reads a section of the state; `jobs` and `explain/{id}` serve the operators' interface. */
function readSection(core: Core, section: string) {
  if (section === 'jobs') return Right<unknown>(core.dispatch.jobs({}));
  if (section.startsWith('explain/')) {
    return Right<unknown>(core.dispatch.explain(section.slice('explain/'.length)));
  }
  const dump = core.dump();
  return Object.hasOwn(dump, section) ? Right(dump[section]) : failUnknownSection(section);
}

/** Makes the handlers. `core` is first called when a peer sends a request, after construction. */
export function makeHandlers(core: () => Core): Peer {
  return {
    fresh: async (request) => Right(core().membership.respondToFreshQuestion(request)),
    changes: async ({ after }) => Right(core().settings.after(after)),
    lookup: (request, options) => core().lookups.runForwarded(request, options),
    witness: async (request) => core().requests.respondAsWitness(request),
    views: async (request) => Right(core().requests.formerViews(request)),
    submit: (request) => core().jobs.handlers.submit(request),
    hold: (request) => core().jobs.handlers.hold(request),
    commit: (request) => core().jobs.handlers.commit(request),
    release: (request) => core().jobs.handlers.release(request),
    stop: (request) => core().jobs.handlers.stop(request),
    ended: (request) => core().jobs.handlers.ended(request),
    attempt: (request) => core().jobs.handlers.attempt(request),
    status: async ({ section }) =>
      section === undefined ? Right(core().dump()) : readSection(core(), section),
  };
}
