/** Starts and ends the processes of a run. */

import {type Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';

/** A process of a run. */
export class Child {
	readonly name: string;
	readonly #process: ChildProcess;
	readonly #exitCode: Promise<number | undefined>;
	#output = '';

	/**
	 * Starts a Node.js program.
	 *
	 * @param name - What to call it in messages.
	 * @param args - The program and its arguments.
	 * @param logFile - The file that takes what it prints.
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

	/** Gets the process id. */
	get pid(): number {
		return this.#process.pid!;
	}

	/** Waits for the end and gets the exit code; undefined after a signal. */
	async waitForEnd(): Promise<number | undefined> {
		return this.#exitCode;
	}

	/**
	 * Waits until the process prints a word.
	 *
	 * @param word - The word.
	 * @throws Error if the process ends before.
	 */
	async waitForOutput(word: string): Promise<void> {
		if (this.#output.includes(word)) {
			return;
		}

		await new Promise<void>((resolve, reject) => {
			this.#process.stdout!.on('data', () => {
				if (this.#output.includes(word)) {
					resolve();
				}
			});
			this.#process.once('exit', (code) => {
				reject(new Error(`${this.name} ended with ${code} before "${word}".`));
			});
		});
	}

	/**
	 * Sends a signal.
	 *
	 * @param signal - The signal.
	 */
	kill(signal: NodeJS.Signals): void {
		this.#process.kill(signal);
	}
}
