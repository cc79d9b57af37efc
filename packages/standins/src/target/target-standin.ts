/** Stands in for a target: slots, a short queue, load reports and refusals. */

import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createHash, randomUUID} from 'node:crypto';
import {
	targetHeaders,
	type Clock,
	type RandomSource,
} from '@bilberryscale/core';
import type {TargetPlace} from '../deployment/address-plan.js';
import type {RunLog} from './run-log.js';
import {drawServiceTimeMs} from './service-time.js';

/** How a target behaves. */
export type TargetStandinOptions = {
	readonly place: TargetPlace;
	readonly slots: number;
	/** How many requests may wait before the target refuses. */
	readonly queueLength: number;
	readonly serviceTimeMs: number;
	readonly spread: number;
	/** The one-way delay to other data centres in milliseconds. */
	readonly delayMs: number;
	readonly newConnectionMs: number;
	readonly random: RandomSource;
	readonly clock: Clock;
	readonly log: RunLog;
};

const unavailable = 503;

/** One target. */
export class TargetStandin {
	readonly #options: TargetStandinOptions;
	readonly #server: http.Server;
	readonly #waiting: Array<() => void> = [];
	readonly #bootId = randomUUID();
	#running = 0;

	/**
	 * @param options - How the target behaves.
	 */
	constructor(options: TargetStandinOptions) {
		this.#options = options;
		this.#server = http.createServer((request, response) => {
			void this.#handle(request, response);
		});
		this.#server.keepAliveTimeout = 0;
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		const {address, port} = this.#options.place;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, address, resolve);
		});
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const body = readBody(request);
		const delayMs = this.#getDelayMs(request);
		await sleep(delayMs);
		if (this.#waiting.length >= this.#options.queueLength) {
			this.#refuse(response);
			return;
		}

		await this.#takeSlot();
		this.#logRun('begin', request);
		const {serviceTimeMs, spread, random} = this.#options;
		await sleep(drawServiceTimeMs(serviceTimeMs, spread, random));
		this.#logRun('end', request);
		this.#freeSlot();
		await sleep(delayMs);
		this.#answer(request, response, await body);
	}

	#refuse(response: ServerResponse): void {
		response.writeHead(unavailable, {
			...this.#getReport(),
			[targetHeaders.runState]: 'not-run',
		});
		response.end();
	}

	#answer(
		request: IncomingMessage,
		response: ServerResponse,
		body: Buffer,
	): void {
		const text = JSON.stringify({
			target: this.#options.place.id,
			path: request.url,
			requestId: request.headers[targetHeaders.requestId],
			bodyDigest: createHash('sha256').update(body).digest('hex'),
		});
		response.writeHead(200, {
			...this.#getReport(),
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text),
		});
		response.end(text);
	}

	#getReport(): Record<string, string> {
		return {
			[targetHeaders.load]: String(this.#running + this.#waiting.length),
			[targetHeaders.bootId]: this.#bootId,
		};
	}

	/** Gets the delay of a request, from the data centre that it came from. */
	#getDelayMs(request: IncomingMessage): number {
		const centre = Number(request.socket.remoteAddress?.split('.')[2]);
		const {place, delayMs} = this.#options;
		return centre === place.dataCentreIndex ? 0 : delayMs;
	}

	async #takeSlot(): Promise<void> {
		if (this.#running < this.#options.slots) {
			this.#running++;
			return;
		}

		await new Promise<void>((resolve) => {
			this.#waiting.push(resolve);
		});
	}

	/** Hands the slot to the next request, or leaves it free. */
	#freeSlot(): void {
		const next = this.#waiting.shift();
		if (next === undefined) {
			this.#running--;
			return;
		}

		next();
	}

	#logRun(event: 'begin' | 'end', request: IncomingMessage): void {
		this.#options.log.add({
			event,
			target: this.#options.place.id,
			requestId: String(request.headers[targetHeaders.requestId]),
			key: getSingle(request.headers[targetHeaders.idempotencyKey]),
			method: request.method ?? '',
			atMs: this.#options.clock.now().getTime(),
		});
	}
}

function getSingle(value: string | string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}
