/**
 * The members of the cell: entry processes that have registered themselves in the store.
 */

/** A registered entry process. */
export interface Member {
  name: string;
  /** Unique per start of the process. */
  instance: string;
  /** Address for calls between entry processes. */
  address: string;
  dataCentre: string;
  processors: number;
  /** Number of client connections when the row was written. */
  clients: number;
  /** Whether the process has recently started while the system was already running. */
  isJustRestarted: boolean;
}

/**
 * Ranks the members as candidates for the scheduler's role: by most processors, then by fewest clients.
 * A planned stop of the scheduler may be part of a rolling restart, so recently restarted members then
 * rank before the others with as many processors.
 *
 * @example
 * rankCandidates(members, { isPlanned: false }).findIndex(({ name }) => name === self.name); // 0 for the best
 */
export function rankCandidates(members: Member[], { isPlanned }: { isPlanned: boolean }): Member[] {
  const compareByRestart = (a: Member, b: Member) =>
    Number(b.isJustRestarted) - Number(a.isJustRestarted);
  return [...members].sort(
    (a, b) =>
      b.processors - a.processors ||
      (isPlanned ? compareByRestart(a, b) : 0) ||
      a.clients - b.clients ||
      (a.name < b.name ? -1 : 1),
  );
}

/**
 * Returns the other members in ring order of their names, starting after the given name. Processes
 * that all need the help of another member thus choose different ones.
 *
 * @example
 * ringSuccessors(members, 'b').map(({ name }) => name); // c, d, a of a to d
 */
export function ringSuccessors(members: Member[], name: string): Member[] {
  const sortedByName = members
    .filter((member) => member.name !== name)
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  const isAfter = (member: Member) => member.name > name;
  return [...sortedByName.filter(isAfter), ...sortedByName.filter((member) => !isAfter(member))];
}

/** Table of the members, keyed by their names. */
export const membersTable = 'members';

/** Decodes a member's row; undefined when the text is malformed. */
export function decodeMember(text: string): Member | undefined {
  try {
    const member = JSON.parse(text) as Member;
    return typeof member.address === 'string' ? member : undefined;
  } catch {
    return undefined;
  }
}
