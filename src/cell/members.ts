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
}

/**
 * The members as candidates for the scheduler's role: those with more processors first, then those
 * with fewer clients.
 *
 * @example
 * candidates(members).findIndex(({ name }) => name === self.name); // 0 for the best
 */
export function candidates(members: Member[]): Member[] {
  return [...members].sort(
    (a, b) => b.processors - a.processors || a.clients - b.clients || (a.name < b.name ? -1 : 1),
  );
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
