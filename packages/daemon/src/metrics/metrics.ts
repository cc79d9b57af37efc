/** The metrics of the process: counted here, sent together now and then. */

import {
	createHistogram,
	monitorEventLoopDelay,
	type IntervalHistogram,
	type RecordableHistogram,
} from 'node:perf_hooks';
import process from 'node:process';
import type {
	AuditEvent,
	Cancellation,
	Clock,
	ErrorKind,
} from '@bilberryscale/core';
import type {EndedCall} from '../pipeline/filters/record.js';
import type {CounterName, GaugeName} from './metric-names.js';
import type {MetricSink} from './metric-sink.js';

/** What metrics work with. */
export type MetricsOptions = {
	readonly clock: Clock;
	readonly sink: MetricSink;
	readonly getBundleVersion: () => number | undefined;
	readonly isReady: () => boolean;
};

const flushEveryMs = 10_000;
const microsecondsPerMs = 1000;
const nanosecondsPerMs = 1_000_000;
const percent = 100;

/** Counts and sends. */
export class Metrics {
	readonly #options: MetricsOptions;
	readonly #durations: RecordableHistogram = createHistogram();
	readonly #loopDelay: IntervalHistogram = monitorEventLoopDelay();
	readonly #refused = new Map<ErrorKind, number>();
	readonly #counters = new Map<CounterName, number>();
	#cpu = process.cpuUsage();
	#flushedAtMs: number;
	#cancelFlush: Cancellation | undefined;

	/**
	 * @param options - The clock, where metrics go and what they are read from.
	 */
	constructor(options: MetricsOptions) {
		this.#options = options;
		this.#flushedAtMs = options.clock.monotonicMs();
	}

	/** Starts to send now and then. */
	start(): void {
		this.#loopDelay.enable();
		this.#flushLater();
	}

	/** Sends what was counted and ends. */
	stop(): void {
		this.#cancelFlush?.();
		this.flush();
		this.#loopDelay.disable();
		this.#options.sink.close();
	}

	/**
	 * Counts a call that has ended.
	 *
	 * @param call - The call.
	 */
	addCall({record, failure}: EndedCall): void {
		const microseconds = Math.round(record.durationMs * microsecondsPerMs);
		this.#durations.record(Math.max(1, microseconds));
		if (record.sends > 1) {
			this.#count('calls.sent_again', record.sends - 1);
		}

		if (failure === undefined) {
			this.#count('calls.answered');
			return;
		}

		this.#count('calls.refused');
		const before = this.#refused.get(failure.kind) ?? 0;
		this.#refused.set(failure.kind, before + 1);
	}

	/**
	 * Counts an audited change.
	 *
	 * @param event - The change.
	 */
	addAudit({kind}: AuditEvent): void {
		this.#count('audit.records');
		if (kind === 'bundle-refused') {
			this.#count('bundle.refused');
		} else if (kind === 'bundle-conflict') {
			this.#count('bundle.conflicts');
		}
	}

	/** Sends what was counted since the last time. */
	flush(): void {
		const {sink} = this.#options;
		for (const [name, value] of this.#counters) {
			sink.addCount(name, value);
		}

		for (const [kind, value] of this.#refused) {
			sink.addCount(`calls.refused.${kind}`, value);
		}

		this.#counters.clear();
		this.#refused.clear();
		this.#sendDurations();
		this.#sendProcess();
	}

	#flushLater(): void {
		this.#cancelFlush = this.#options.clock.schedule(flushEveryMs, () => {
			this.flush();
			this.#flushLater();
		});
	}

	#sendDurations(): void {
		const histogram = this.#durations;
		if (histogram.count > 0) {
			const getMs = (value: number) => value / microsecondsPerMs;
			this.#gauge('calls.duration_p50_ms', getMs(histogram.percentile(50)));
			this.#gauge('calls.duration_p99_ms', getMs(histogram.percentile(99)));
			this.#gauge('calls.duration_max_ms', getMs(histogram.max));
		}

		histogram.reset();
	}

	#sendProcess(): void {
		const {clock, getBundleVersion, isReady} = this.#options;
		const nowMs = clock.monotonicMs();
		const used = process.cpuUsage(this.#cpu);
		const usedMs = (used.user + used.system) / microsecondsPerMs;
		const elapsedMs = Math.max(1, nowMs - this.#flushedAtMs);
		this.#cpu = process.cpuUsage();
		this.#flushedAtMs = nowMs;
		this.#gauge('bundle.version', getBundleVersion() ?? 0);
		this.#gauge('host.ready', isReady() ? 1 : 0);
		this.#gauge('process.memory_bytes', process.memoryUsage.rss());
		this.#gauge('process.cpu_percent', (usedMs / elapsedMs) * percent);
		const delayMs = this.#loopDelay.percentile(99) / nanosecondsPerMs;
		this.#gauge('process.loop_delay_p99_ms', delayMs);
		this.#loopDelay.reset();
	}

	#count(name: CounterName, value = 1): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + value);
	}

	#gauge(name: GaugeName, value: number): void {
		this.#options.sink.setGauge(name, value);
	}
}
