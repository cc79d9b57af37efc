/** The format of host addresses on the command line. */

import {isIP} from 'node:net';

const hostAddressPattern =
	/^(?:(?<ipv4>[\d.]+)|\[(?<ipv6>[\da-f:.]+)\]):(?<port>\d{1,5})$/iv;
const maxPort = 65_535;

/**
 * Checks whether a text is an IP address and a port.
 *
 * @param text - The text.
 * @returns True for `address:port`, with an IPv6 address in brackets.
 */
export function isHostAddress(text: string): boolean {
	const groups = hostAddressPattern.exec(text)?.groups;
	const address = groups?.ipv4 ?? groups?.ipv6 ?? '';
	return isIP(address) > 0 && Number(groups?.port) <= maxPort;
}
