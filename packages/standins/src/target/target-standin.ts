/** Stands in for a target: slots, a short queue, load reports and faults. */

import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {targetHeaders} from '@bilberryscale/core';
import {
	usualBehaviour,
	type TargetAction,
	type TargetBehaviour,
	type TargetCounters,
} from './behaviour.js';
import {Links} from './links.js';
import {LoadReports, loadPath} from './load-reports.js';
import {RunRecorder} from './run-recorder.js';
import {
	isCrashing,
	readBody,
	watchForClose,
	writeAnswer,
	type TargetExchange,
} from './target-exchange.js';
import {TargetListener} from './target-listener.js';
import type {TargetStandinOptions} from './target-standin-options.js';
import {TargetWork} from './target-work.js';

const unavailable = 503;
const crashAfterMs = 5;

/** One target. */
export class TargetStandin {
	readonly #options: TargetStandinOptions;
	readonly #links: Links;
	readonly #work: TargetWork;
	readonly #reports: LoadReports;
	readonly #recorder: RunRecorder;
	readonly #listener: TargetListener;
	#behaviour = usualBehaviour;
	#bootId = randomUUID();

	/**
	 * @param options - How the target is made.
	 */
	constructor(options: TargetStandinOptions) {
		this.#options = options;
		const {clock, place, log} = options;
		this.#links = new Links({
			...options,
			dataCentreIndex: place.dataCentreIndex,
		});
		this.#work = new TargetWork(options);
		this.#reports = new LoadReports(clock);
		this.#recorder = new RunRecorder({target: place.id, clock, log});
		this.#listener = new TargetListener({
			...options,
			links: this.#links,
			handle: (request, response) => {
				void this.#handle(request, response);
			},
		});
	}

	/** Gets the id of the target. */
	get id(): string {
		return this.#options.place.id;
	}

	/** Gets what was counted. */
	get counters(): TargetCounters {
		return {
			begun: this.#recorder.getCount('begin'),
			ended: this.#recorder.getCount('end'),
			refused: this.#recorder.getCount('refuse'),
			withdrawn: this.#recorder.getCount('withdraw'),
			crashes: this.#recorder.getCount('crash'),
			mostRunning: this.#work.mostRunning,
			refusedConnections: this.#listener.refusedConnections,
			openConnections: this.#links.openCount,
			loadCalls: this.#reports.endpointCalls,
			isCold: this.#work.isCold,
		};
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		await this.#listener.listen();
	}

	/** Stops to listen and cuts every connection. */
	close(): void {
		this.#listener.close();
	}

	/**
	 * Changes how the target behaves.
	 *
	 * @param change - What changes; the rest stays.
	 */
	setBehaviour(change: Partial<TargetBehaviour>): void {
		this.#behaviour = {...this.#behaviour, ...change};
		this.#links.setChanged(this.#behaviour.links);
		this.#reports.setReporting(this.#behaviour);
		this.#work.slowdown = this.#behaviour.slowdown;
		if (change.stalls !== undefined) {
			this.#work.setStalls(change.stalls);
		}
	}

	/**
	 * Does something once.
	 *
	 * @param action - What to do.
	 */
	async act(action: TargetAction): Promise<void> {
		switch (action.kind) {
			case 'turn-cold': {
				this.#turnCold(action.changesBootId);
				return;
			}

			case 'crash': {
				void this.#crash();
				return;
			}

			case 'kill': {
				this.close();
				return;
			}

			case 'start': {
				await this.#restart();
				return;
			}

			case 'silence-open-connections': {
				this.#links.silenceOpen();
			}
		}
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const {socket} = request;
		const signal = watchForClose(response);
		const arrivedAtMs = this.#options.clock.monotonicMs();
		const delayMs = this.#links.getDelayMs(socket);
		await sleepFor(delayMs + this.#links.getSetUpMs(socket));
		if (this.#links.isSilent(socket)) {
			return;
		}

		if (request.url === loadPath) {
			this.#reports.answer(response, this.#bootId);
			return;
		}

		const body = await readBody(request);
		if (body === undefined) {
			this.#recorder.add('withdraw', request);
			return;
		}

		await this.#serve({request, response, body, signal, arrivedAtMs});
	}

	async #serve(exchange: TargetExchange): Promise<void> {
		const {request, response, signal} = exchange;
		const isWanted = !this.#behaviour.isDraining && !this.#isLate(exchange);
		const outcome = isWanted ? await this.#work.takeSlot(signal) : 'refused';
		if (outcome === 'taken' && !this.#isLate(exchange)) {
			await this.#run(exchange);
			return;
		}

		if (outcome === 'taken') {
			this.#work.freeSlot();
		}

		this.#recorder.add(
			outcome === 'withdrawn' ? 'withdraw' : 'refuse',
			request,
		);
		if (outcome !== 'withdrawn' && !this.#links.isSilent(request.socket)) {
			this.#refuse(response);
		}
	}

	async #run(exchange: TargetExchange): Promise<void> {
		const {request, response, body} = exchange;
		const {life} = this.#listener;
		this.#reports.setInFlight(this.#work.inFlight);
		this.#recorder.add('begin', request);
		if (isCrashing(request)) {
			await sleep(crashAfterMs);
			this.#recorder.add('crash', request);
			this.#work.freeSlot();
			await this.#crash();
			return;
		}

		await this.#work.run();
		this.#work.freeSlot();
		this.#reports.setInFlight(this.#work.inFlight);
		if (life !== this.#listener.life) {
			return;
		}

		this.#recorder.add('end', request);
		await sleepFor(this.#links.getDelayMs(request.socket));
		if (!this.#links.isSilent(request.socket)) {
			writeAnswer({
				request,
				response,
				body,
				target: this.id,
				headers: this.#getReport(),
				isBroken: this.#options.random() < this.#behaviour.brokenAnswerShare,
			});
		}
	}

	#isLate({request, arrivedAtMs}: TargetExchange): boolean {
		const given = request.headers[targetHeaders.timeout];
		const timeoutMs = given === undefined ? Infinity : Number(given);
		return this.#options.clock.monotonicMs() - arrivedAtMs >= timeoutMs;
	}

	#refuse(response: ServerResponse): void {
		response.writeHead(unavailable, {
			...this.#getReport(),
			[targetHeaders.runState]: 'not-run',
		});
		response.end();
	}

	#getReport(): Record<string, string> {
		return this.#reports.getHeaders(this.#work.inFlight, this.#bootId);
	}

	#turnCold(changesBootId: boolean): void {
		this.#work.turnCold();
		if (changesBootId) {
			this.#bootId = randomUUID();
		}
	}

	async #crash(): Promise<void> {
		this.close();
		const {life} = this.#listener;
		await sleep(this.#behaviour.restartMs);
		if (life === this.#listener.life) {
			await this.#restart();
		}
	}

	async #restart(): Promise<void> {
		if (!this.#listener.isListening) {
			this.#turnCold(true);
			await this.listen();
		}
	}
}

async function sleepFor(durationMs: number): Promise<void> {
	if (durationMs > 0) {
		await sleep(durationMs);
	}
}
