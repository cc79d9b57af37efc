/** Reads the audit trail of an entry host from its log. */

import {readLines} from '../utils/read-lines.js';
import type {AuditEntry} from './history.js';

type LogLine = {
	readonly message?: string;
	readonly fields?: {
		readonly at: string;
		readonly host: string;
		readonly incarnation: string;
		readonly kind: string;
		readonly subject: string;
	};
};

const auditMessage = 'audit';

/**
 * Reads the audit trail of an entry host.
 *
 * @param file - What the host's processes printed.
 * @returns The records of all its lives, in order.
 */
export function readAudits(file: string): AuditEntry[] {
	return (readLines(file) as LogLine[]).flatMap(({message, fields}) => {
		if (message !== auditMessage || fields === undefined) {
			return [];
		}

		const {at, host, incarnation, kind, subject} = fields;
		return [{host, incarnation, kind, subject, atMs: Date.parse(at)}];
	});
}
