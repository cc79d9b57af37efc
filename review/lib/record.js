/** Writes what was sent, answered and run to `record.txt` beside a case. */

import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** A record with times from its start. */
export class CaseRecord {
	#lines = [];
	#startedAtMs = performance.now();
	#file;

	constructor(caseUrl) {
		this.#file = new URL('record.txt', caseUrl);
	}

	get elapsedMs() {
		return performance.now() - this.#startedAtMs;
	}

	add(text) {
		this.#lines.push(`${this.elapsedMs.toFixed(0).padStart(6)} ms  ${text}`);
	}

	save() {
		writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}

/** Runs a case: its body returns whether the rule was broken. */
export async function runCase(caseUrl, body) {
	const record = new CaseRecord(caseUrl);
	const hasTrouble = process.env.TROUBLE !== '0';
	record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
	try {
		const isBroken = await body({record, hasTrouble});
		record.add(
			isBroken ? 'result: the rule was broken' : 'result: the rule held',
		);
		process.exitCode = isBroken ? 1 : 0;
	} catch (error) {
		record.add(`result: the case could not run: ${error.stack}`);
		process.exitCode = 2;
	}

	record.save();
}
