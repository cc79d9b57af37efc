/** A simulated target with limited concurrency, a short queue, load reports and injected faults. */

import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {targetHeaders} from '@bilberryscale/core';
import {LoadReporter, loadPath} from './load-reporter.js';
import {RequestExecutor} from './request-executor.js';
import {RunRecorder} from './run-recorder.js';
import {SimulatedNetwork} from './simulated-network.js';
import type {SimulatedTargetOptions} from './simulated-target-options.js';
import {
	defaultBehaviour,
	type TargetAction,
	type TargetBehaviour,
	type TargetCounters,
} from './target-behaviour.js';
import {
	isCrashRequest,
	readBody,
	makeCloseSignal,
	writeResponse,
	type TargetExchange,
} from './target-exchange.js';
import {TargetListener} from './target-listener.js';

const unavailable = 503;
const crashDelayMs = 5;

/** An HTTP server that behaves like a target. */
export class SimulatedTarget {
	readonly #options: SimulatedTargetOptions;
	readonly #network: SimulatedNetwork;
	readonly #executor: RequestExecutor;
	readonly #loadReporter: LoadReporter;
	readonly #recorder: RunRecorder;
	readonly #listener: TargetListener;
	#behaviour = defaultBehaviour;
	#bootId = randomUUID();

	/**
	 * @param options - The address, the capacity and the dependencies of the target.
	 */
	constructor(options: SimulatedTargetOptions) {
		this.#options = options;
		const {clock, location, log} = options;
		this.#network = new SimulatedNetwork({
			...options,
			dataCentreIndex: location.dataCentreIndex,
		});
		this.#executor = new RequestExecutor(options);
		this.#loadReporter = new LoadReporter(clock);
		this.#recorder = new RunRecorder({target: location.id, clock, log});
		this.#listener = new TargetListener({
			...options,
			network: this.#network,
			handle: (request, response) => {
				void this.#handle(request, response);
			},
		});
	}

	/** Gets the ID of the target. */
	get id(): string {
		return this.#options.location.id;
	}

	/** Gets the counters since the creation of the target. */
	get counters(): TargetCounters {
		return {
			begun: this.#recorder.getCount('begin'),
			ended: this.#recorder.getCount('end'),
			refused: this.#recorder.getCount('refuse'),
			withdrawn: this.#recorder.getCount('withdraw'),
			crashes: this.#recorder.getCount('crash'),
			mostRunning: this.#executor.maxRunning,
			refusedConnections: this.#listener.refusedConnectionCount,
			openConnections: this.#network.openConnectionCount,
			loadCalls: this.#loadReporter.endpointCallCount,
			isCold: this.#executor.isCold,
		};
	}

	/** Starts listening. */
	async listen(): Promise<void> {
		await this.#listener.listen();
	}

	/** Stops listening and resets every connection. */
	close(): void {
		this.#listener.close();
	}

	/**
	 * Changes the behaviour of the target.
	 *
	 * @param change - The fields to change; the others are kept.
	 */
	setBehaviour(change: Partial<TargetBehaviour>): void {
		this.#behaviour = {...this.#behaviour, ...change};
		this.#network.setSourceLinks(this.#behaviour.links);
		this.#loadReporter.configure(this.#behaviour);
		this.#executor.slowdownFactor = this.#behaviour.slowdown;
		if (change.stalls !== undefined) {
			this.#executor.setStallPattern(change.stalls);
		}
	}

	/**
	 * Performs a one-time action.
	 *
	 * @param action - The action.
	 */
	async performAction(action: TargetAction): Promise<void> {
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
				this.#network.silenceOpenConnections();
			}
		}
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const {socket} = request;
		const signal = makeCloseSignal(response);
		const arrivedAtMs = this.#options.clock.monotonicMs();
		const delayMs = this.#network.getDelayMs(socket);
		await sleepFor(delayMs + this.#network.getRemainingSetupMs(socket));
		if (this.#network.isSilent(socket)) {
			return;
		}

		if (request.url === loadPath) {
			this.#loadReporter.sendReport(response, this.#bootId);
			return;
		}

		const body = await readBody(request);
		if (body === undefined) {
			this.#recorder.record('withdraw', request);
			return;
		}

		await this.#serve({request, response, body, signal, arrivedAtMs});
	}

	async #serve(exchange: TargetExchange): Promise<void> {
		const {request, response, signal} = exchange;
		const isAdmitted =
			!this.#behaviour.isDraining && !this.#isTimedOut(exchange);
		const outcome = isAdmitted
			? await this.#executor.acquireSlot(signal)
			: 'refused';
		if (outcome === 'taken' && !this.#isTimedOut(exchange)) {
			await this.#run(exchange);
			return;
		}

		if (outcome === 'taken') {
			this.#executor.releaseSlot();
		}

		this.#recorder.record(
			outcome === 'withdrawn' ? 'withdraw' : 'refuse',
			request,
		);
		if (outcome !== 'withdrawn' && !this.#network.isSilent(request.socket)) {
			this.#refuse(response);
		}
	}

	async #run(exchange: TargetExchange): Promise<void> {
		const {request, response, body} = exchange;
		const {incarnation} = this.#listener;
		this.#loadReporter.recordInFlight(this.#executor.inFlight);
		this.#recorder.record('begin', request);
		if (isCrashRequest(request)) {
			await sleep(crashDelayMs);
			this.#recorder.record('crash', request);
			this.#executor.releaseSlot();
			await this.#crash();
			return;
		}

		await this.#executor.run();
		this.#executor.releaseSlot();
		this.#loadReporter.recordInFlight(this.#executor.inFlight);
		if (incarnation !== this.#listener.incarnation) {
			return;
		}

		this.#recorder.record('end', request);
		await sleepFor(this.#network.getDelayMs(request.socket));
		if (!this.#network.isSilent(request.socket)) {
			writeResponse({
				request,
				response,
				body,
				target: this.id,
				headers: this.#getReportHeaders(),
				isBroken: this.#options.random() < this.#behaviour.brokenAnswerShare,
			});
		}
	}

	#isTimedOut({request, arrivedAtMs}: TargetExchange): boolean {
		const timeoutHeader = request.headers[targetHeaders.timeout];
		const timeoutMs =
			timeoutHeader === undefined ? Infinity : Number(timeoutHeader);
		return this.#options.clock.monotonicMs() - arrivedAtMs >= timeoutMs;
	}

	#refuse(response: ServerResponse): void {
		response.writeHead(unavailable, {
			...this.#getReportHeaders(),
			[targetHeaders.requestId]: String(
				response.req.headers[targetHeaders.requestId],
			),
			[targetHeaders.runState]: 'not-run',
		});
		response.end();
	}

	#getReportHeaders(): Record<string, string> {
		return this.#loadReporter.getReportHeaders(
			this.#executor.inFlight,
			this.#bootId,
		);
	}

	#turnCold(changesBootId: boolean): void {
		this.#executor.turnCold();
		if (changesBootId) {
			this.#bootId = randomUUID();
		}
	}

	async #crash(): Promise<void> {
		this.close();
		const {incarnation} = this.#listener;
		await sleep(this.#behaviour.restartMs);
		if (incarnation === this.#listener.incarnation) {
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
