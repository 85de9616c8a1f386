/**
 * The addresses at which an entry process serves the others: several consecutive ports.
 */

/** Returns the address with a port that is higher by the offset. */
export function shiftPort(address: string, offset: number): string {
  const [host = '', port = ''] = address.split(':');
  return `${host}:${Number(port) + offset}`;
}

/** Chooses the port that a process uses at the others, so that processes spread over the ports. */
export function choosePortOffset(name: string, ports: number): number {
  return [...name].reduce((offset, letter) => (offset * 31 + letter.charCodeAt(0)) % ports, 0);
}
