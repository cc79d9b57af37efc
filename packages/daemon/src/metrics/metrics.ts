/** The metrics of the process, sent at a fixed interval. */

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

/** The dependencies of the metrics. */
export type MetricsOptions = {
	readonly clock: Clock;
	readonly sink: MetricSink;
	readonly getBundleVersion: () => number | undefined;
	readonly isReady: () => boolean;
};

const flushIntervalMs = 10_000;
const microsecondsPerMs = 1000;
const nanosecondsPerMs = 1_000_000;
const percent = 100;

/** Collects metrics and sends them to a sink. */
export class Metrics {
	readonly #options: MetricsOptions;
	readonly #durations: RecordableHistogram = createHistogram();
	readonly #loopDelay: IntervalHistogram = monitorEventLoopDelay();
	readonly #refusalCounts = new Map<ErrorKind, number>();
	readonly #counts = new Map<CounterName, number>();
	#lastCpuUsage = process.cpuUsage();
	#lastFlushMs: number;
	#cancelFlush: Cancellation | undefined;

	/**
	 * @param options - The clock, the sink and the sources of the gauges.
	 */
	constructor(options: MetricsOptions) {
		this.#options = options;
		this.#lastFlushMs = options.clock.monotonicMs();
	}

	/** Starts to send at a fixed interval. */
	start(): void {
		this.#loopDelay.enable();
		this.#scheduleFlush();
	}

	/** Sends the remaining values and closes the sink. */
	stop(): void {
		this.#cancelFlush?.();
		this.flush();
		this.#loopDelay.disable();
		this.#options.sink.close();
	}

	/**
	 * Counts a request that has ended.
	 *
	 * @param call - The request's record and its failure, if any.
	 */
	addCall({record, failure}: EndedCall): void {
		const microseconds = Math.round(record.durationMs * microsecondsPerMs);
		this.#durations.record(Math.max(1, microseconds));
		if (record.sends > 1) {
			this.#incrementCounter('calls.sent_again', record.sends - 1);
		}

		if (failure === undefined) {
			this.#incrementCounter('calls.answered');
			return;
		}

		this.#incrementCounter('calls.refused');
		const previousCount = this.#refusalCounts.get(failure.kind) ?? 0;
		this.#refusalCounts.set(failure.kind, previousCount + 1);
	}

	/**
	 * Counts an audit event.
	 *
	 * @param event - The event.
	 */
	addAuditEvent({kind}: AuditEvent): void {
		this.#incrementCounter('audit.records');
		if (kind === 'bundle-refused') {
			this.#incrementCounter('bundle.refused');
		} else if (kind === 'bundle-conflict') {
			this.#incrementCounter('bundle.conflicts');
		}
	}

	/** Sends all metrics and resets the counters and durations. */
	flush(): void {
		const {sink} = this.#options;
		for (const [name, value] of this.#counts) {
			sink.incrementCounter(name, value);
		}

		for (const [kind, value] of this.#refusalCounts) {
			sink.incrementCounter(`calls.refused.${kind}`, value);
		}

		this.#counts.clear();
		this.#refusalCounts.clear();
		this.#sendDurationGauges();
		this.#sendHostGauges();
	}

	#scheduleFlush(): void {
		this.#cancelFlush = this.#options.clock.schedule(flushIntervalMs, () => {
			this.flush();
			this.#scheduleFlush();
		});
	}

	#sendDurationGauges(): void {
		const histogram = this.#durations;
		if (histogram.count > 0) {
			const toMs = (value: number) => value / microsecondsPerMs;
			this.#setGauge('calls.duration_p50_ms', toMs(histogram.percentile(50)));
			this.#setGauge('calls.duration_p99_ms', toMs(histogram.percentile(99)));
			this.#setGauge('calls.duration_max_ms', toMs(histogram.max));
		}

		histogram.reset();
	}

	#sendHostGauges(): void {
		const {clock, getBundleVersion, isReady} = this.#options;
		const nowMs = clock.monotonicMs();
		const cpuUsage = process.cpuUsage(this.#lastCpuUsage);
		const cpuMs = (cpuUsage.user + cpuUsage.system) / microsecondsPerMs;
		const elapsedMs = Math.max(1, nowMs - this.#lastFlushMs);
		this.#lastCpuUsage = process.cpuUsage();
		this.#lastFlushMs = nowMs;
		this.#setGauge('bundle.version', getBundleVersion() ?? 0);
		this.#setGauge('host.ready', isReady() ? 1 : 0);
		this.#setGauge('process.memory_bytes', process.memoryUsage.rss());
		this.#setGauge('process.cpu_percent', (cpuMs / elapsedMs) * percent);
		const delayMs = this.#loopDelay.percentile(99) / nanosecondsPerMs;
		this.#setGauge('process.loop_delay_p99_ms', delayMs);
		this.#loopDelay.reset();
	}

	#incrementCounter(name: CounterName, value = 1): void {
		this.#counts.set(name, (this.#counts.get(name) ?? 0) + value);
	}

	#setGauge(name: GaugeName, value: number): void {
		this.#options.sink.setGauge(name, value);
	}
}
