/**
 * The answers to peers.
 */
import { Right } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Peer } from '../peers/mod.ts';
import type { Core } from './core.ts';

const unknownSection = (section: string) =>
  failWith(ErrorKind.NotFound, 'there is no such section of the state', { got: section });

/** A section of the state; `jobs` and `explain/{id}` are for the operators' interface. */
function sectionOf(core: Core, section: string) {
  if (section === 'jobs') return Right<unknown>(core.dispatch.jobs({}));
  if (section.startsWith('explain/')) {
    return Right<unknown>(core.dispatch.explain(section.slice('explain/'.length)));
  }
  const dump = core.dump();
  return Object.hasOwn(dump, section) ? Right(dump[section]) : unknownSection(section);
}

/** Makes the handlers; the core is complete by the time that a peer asks. */
export function makeHandlers(core: () => Core): Peer {
  return {
    fresh: async (question) => Right(core().membership.vouch(question)),
    changes: async ({ after }) => Right(core().settings.after(after)),
    lookup: (question, options) => core().lookups.handed(question, options),
    witness: async (question) => core().requests.witness(question),
    views: async (question) => Right(core().requests.formerViews(question)),
    submit: (question) => core().jobs.handlers.submit(question),
    hold: (question) => core().jobs.handlers.hold(question),
    commit: (question) => core().jobs.handlers.commit(question),
    release: (question) => core().jobs.handlers.release(question),
    stop: (question) => core().jobs.handlers.stop(question),
    ended: (question) => core().jobs.handlers.ended(question),
    attempt: (question) => core().jobs.handlers.attempt(question),
    status: async ({ section }) =>
      section === undefined ? Right(core().dump()) : sectionOf(core(), section),
  };
}
