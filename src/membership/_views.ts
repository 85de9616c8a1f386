/**
 * The present view of the members and those before it.
 */
import type { Clock } from '../clock/mod.ts';
import type { View } from './membership.ts';

// Witness quorums span the views of the last 60 s; 15 s cover the time until all have the new one.
const retentionMs = 75_000;

/** Views, newest first. */
export interface Views {
  current(): View;
  install(view: View): void;
  recent(): { view: View; replacedAgoMs: number }[];
}

/**
 * Makes the list of views, which starts with an empty one.
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
