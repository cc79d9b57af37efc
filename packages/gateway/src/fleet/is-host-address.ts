/** Validates addresses of hosts that come from outside this process. */

import {isIPv4} from 'node:net';

/** The first part of the lowest multicast address. */
const firstMulticastPart = 224;

/**
 * Checks whether a text is the IP address of one host, to which connections can be opened.
 *
 * @param text - The text.
 * @returns Whether it is an IPv4 address, and neither one of this network (0.0.0.0/8) nor a multicast or reserved one.
 */
export function isHostAddress(text: string): boolean {
	const firstPart = Number(text.split('.')[0]);
	return isIPv4(text) && firstPart > 0 && firstPart < firstMulticastPart;
}
