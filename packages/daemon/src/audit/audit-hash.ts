/** The hash that chains the records of an audit trail. */

import {createHash} from 'node:crypto';

/**
 * Gets the hash of a record.
 *
 * @param content - All fields but the hash, in the order in which they are sent.
 * @returns The SHA-256 in hexadecimal.
 */
export function getAuditHash(content: object): string {
	return createHash('sha256').update(JSON.stringify(content)).digest('hex');
}
