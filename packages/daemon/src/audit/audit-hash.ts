/** The hash that links each audit record to the one before it. */

import {createHash} from 'node:crypto';

/**
 * Computes the hash of an audit record.
 *
 * @param content - All fields except the hash, in the order in which they are sent.
 * @returns The SHA-256 digest in hexadecimal.
 */
export function getAuditHash(content: object): string {
	return createHash('sha256').update(JSON.stringify(content)).digest('hex');
}
