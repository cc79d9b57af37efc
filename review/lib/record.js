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

/** What `run.sh` turns into its exit code 1; an error of the script itself ends it with another one. */
const brokenExitCode = 3;
const failedExitCode = 2;

/** Runs a case: its body gets the record and returns whether the rule was broken. */
export async function runCase(caseUrl, hasTrouble, body) {
	const record = new CaseRecord(caseUrl);
	record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
	try {
		const isBroken = await body(record);
		record.add(
			isBroken ? 'result: the rule was broken' : 'result: the rule held',
		);
		process.exitCode = isBroken ? brokenExitCode : 0;
	} catch (error) {
		record.add(`result: the case could not run: ${error.message}`);
		process.exitCode = failedExitCode;
	}

	record.save();
}
