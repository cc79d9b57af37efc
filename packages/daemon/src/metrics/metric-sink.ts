/** Sends metrics to a StatsD server. */

import type {ErrorKind} from '@bilberryscale/core';
import {StatsD} from 'hot-shots';
import type {CounterName, GaugeName} from './metric-names.js';

/** Takes what was counted. */
export type MetricSink = {
	readonly addCount: (
		name: CounterName | `calls.refused.${ErrorKind}`,
		value: number,
	) => void;
	readonly setGauge: (name: GaugeName, value: number) => void;
	readonly close: () => void;
};

/** Where the StatsD server is and who sends. */
export type StatsdOptions = {
	readonly address: string;
	readonly port: number;
	readonly host: string;
	/** Takes what went wrong; metrics that are lost harm nothing else. */
	readonly onError: (error: Error) => void;
};

const largestPacketBytes = 1400;
const decimals = 3;

/** Drops all metrics, for a host whose settings name no server. */
export const noMetricSink: MetricSink = {
	addCount() {
		// No server is named.
	},
	setGauge() {
		// No server is named.
	},
	close() {
		// No server is named.
	},
};

/**
 * Makes a sink that sends over UDP.
 *
 * @param options - Where to send.
 * @returns The sink.
 */
export function makeStatsdSink(options: StatsdOptions): MetricSink {
	const client = new StatsD({
		host: options.address,
		port: options.port,
		prefix: `bilberryscale.${options.host.replaceAll('.', '_')}.`,
		maxBufferSize: largestPacketBytes,
		includeDatadogTelemetry: false,
		errorHandler: options.onError,
	});
	return {
		addCount(name, value) {
			client.increment(name, value);
		},
		setGauge(name, value) {
			client.gauge(name, Number(value.toFixed(decimals)));
		},
		close() {
			client.close(() => undefined);
		},
	};
}
