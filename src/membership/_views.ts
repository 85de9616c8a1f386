/**
 * The current view of the members and the recent views before it.
 */
import type { Clock } from '../clock/mod.ts';
import type { View } from './membership.ts';

// Witness quorums span the views of the last 60 s. The other 15 s cover the time until every
// process has the new view.
const retentionMs = 75_000;

/** The current view and those before it. */
export interface Views {
  current(): View;
  install(view: View): void;
  /** Former views, newest first. */
  recent(): { view: View; replacedAgoMs: number }[];
}

/**
 * Makes a list of views that starts with an empty one.
 *
 * @example
 * const views = makeViews({ clock });
 */
export function makeViews({ clock }: { clock: Clock }): Views {
  let current: View = { version: 0, members: [] };
  let replaced: { view: View; replacedAt: number }[] = [];
  return {
    current: () => current,
    install(view) {
      const now = clock.now();
      if (view.version !== current.version) {
        replaced = [{ view: current, replacedAt: now }, ...replaced].filter(
          ({ replacedAt }) => now - replacedAt < retentionMs,
        );
      }
      current = view;
    },
    recent: () =>
      replaced.map(({ view, replacedAt }) => ({
        view,
        replacedAgoMs: Math.max(0, clock.now() - replacedAt),
      })),
  };
}
