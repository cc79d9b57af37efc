/** Reads the audit trail of an entry host from its log file. */

import {readJsonLines} from '../utils/read-json-lines.js';
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

const auditLogMessage = 'audit';

/**
 * Reads the audit trail of an entry host.
 *
 * @param file - The log file that collects the output of the host's processes.
 * @returns The audit entries of all incarnations of the host, in order.
 */
export function readAuditEntries(file: string): AuditEntry[] {
	return (readJsonLines(file) as LogLine[]).flatMap(({message, fields}) => {
		if (message !== auditLogMessage || fields === undefined) {
			return [];
		}

		const {at, host, incarnation, kind, subject} = fields;
		return [{host, incarnation, kind, subject, atMs: Date.parse(at)}];
	});
}
