/** Sends metrics to a StatsD server. */

import type {ErrorKind} from '@bilberryscale/core';
import {StatsD} from 'hot-shots';
import type {CounterName, GaugeName} from './metric-names.js';

/** Receives the values of counters and gauges. */
export type MetricSink = {
	readonly incrementCounter: (
		name: CounterName | `calls.refused.${ErrorKind}`,
		value: number,
	) => void;
	readonly setGauge: (name: GaugeName, value: number) => void;
	readonly close: () => void;
};

/** The address of the StatsD server and the name of the sending host. */
export type StatsdOptions = {
	readonly address: string;
	readonly port: number;
	readonly host: string;
	/** Receives send errors; lost metrics affect nothing else. */
	readonly onError: (error: Error) => void;
};

const maxPacketBytes = 1400;
const gaugeDecimals = 3;

/** Discards all metrics, for a host without a StatsD server in its settings. */
export const noMetricSink: MetricSink = {
	incrementCounter() {
		// No server is configured.
	},
	setGauge() {
		// No server is configured.
	},
	close() {
		// No server is configured.
	},
};

/**
 * Makes a sink that sends metrics to a StatsD server over UDP.
 *
 * @param options - The server and the sending host.
 * @returns The sink.
 */
export function makeStatsdSink(options: StatsdOptions): MetricSink {
	const client = new StatsD({
		host: options.address,
		port: options.port,
		prefix: `bilberryscale.${options.host.replaceAll('.', '_')}.`,
		maxBufferSize: maxPacketBytes,
		includeDatadogTelemetry: false,
		errorHandler: options.onError,
	});
	return {
		incrementCounter(name, value) {
			client.increment(name, value);
		},
		setGauge(name, value) {
			client.gauge(name, Number(value.toFixed(gaugeDecimals)));
		},
		close() {
			client.close(() => undefined);
		},
	};
}
