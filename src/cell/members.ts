/**
 * The entry processes of the system, as they register themselves in the store.
 */

/** An entry process. */
export interface Member {
  name: string;
  /** Unique for each start of the process. */
  instance: string;
  /** Address for calls between entry processes. */
  address: string;
  dataCentre: string;
  processors: number;
  /** Client connections that were open when the row was written. */
  clients: number;
  /** The process was started a short while ago in a system that was running. */
  isJustRestarted: boolean;
}

/**
 * The members as candidates for the scheduler's role: those with more processors first, then those
 * with fewer clients. When the scheduler was stopped as planned, the others may be stopped in turn, so
 * those come first that have been restarted already.
 *
 * @example
 * candidates(members, { isPlanned: false }).findIndex(({ name }) => name === self.name); // 0 for the best
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
 * The other members, those first whose names follow that of the process. So processes that all need
 * another one do not all turn to the same.
 *
 * @example
 * neighbours(members, 'b').map(({ name }) => name); // c, d, a of a to d
 */
export function ringSuccessors(members: Member[], name: string): Member[] {
  const sortedByName = members
    .filter((member) => member.name !== name)
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  const isAfter = (member: Member) => member.name > name;
  return [...sortedByName.filter(isAfter), ...sortedByName.filter((member) => !isAfter(member))];
}

/** Table of the members; the key is the member's name. */
export const membersTable = 'members';

/** Decodes a member's row; undefined where the text is none. */
export function decodeMember(text: string): Member | undefined {
  try {
    const member = JSON.parse(text) as Member;
    return typeof member.address === 'string' ? member : undefined;
  } catch {
    return undefined;
  }
}
