/** Starts Node.js programs as child processes and follows their output. */

import {type Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';

/** A child process whose output goes to a log file. */
export class ManagedProcess {
	readonly name: string;
	readonly #process: ChildProcess;
	readonly #exitCode: Promise<number | undefined>;
	#output = '';

	/**
	 * Starts a Node.js program.
	 *
	 * @param name - The name in error messages.
	 * @param args - The program and its arguments.
	 * @param logFile - The file that its output is appended to.
	 */
	constructor(name: string, args: readonly string[], logFile: string) {
		this.name = name;
		this.#process = spawn(process.execPath, args, {
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = fs.createWriteStream(logFile, {flags: 'a'});
		this.#process.stdout!.on('data', (chunk: Buffer) => {
			this.#output = `${this.#output}${String(chunk)}`.slice(-4000);
			log.write(chunk);
		});
		this.#process.stderr!.on('data', (chunk: Buffer) => {
			log.write(chunk);
		});
		this.#exitCode = new Promise((resolve) => {
			this.#process.once('exit', (code) => {
				resolve(code ?? undefined);
			});
		});
	}

	/** The process ID. */
	get pid(): number {
		return this.#process.pid!;
	}

	/** Waits for the process to exit and returns its exit code, undefined after a signal. */
	async waitForExit(): Promise<number | undefined> {
		return this.#exitCode;
	}

	/**
	 * Waits until the recent standard output of the process contains a text.
	 *
	 * @param text - The text to wait for.
	 * @throws Error if the process exits before.
	 */
	async waitForOutput(text: string): Promise<void> {
		if (this.#output.includes(text)) {
			return;
		}

		await new Promise<void>((resolve, reject) => {
			this.#process.stdout!.on('data', () => {
				if (this.#output.includes(text)) {
					resolve();
				}
			});
			this.#process.once('exit', (code) => {
				reject(
					new Error(
						`${this.name} exited with code ${code} before it printed "${text}".`,
					),
				);
			});
		});
	}

	/**
	 * Sends a signal to the process.
	 *
	 * @param signal - The signal.
	 */
	kill(signal: NodeJS.Signals): void {
		this.#process.kill(signal);
	}
}
