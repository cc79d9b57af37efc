/** The names of all metrics. */

/** Counters; each flush sends the increase since the previous one. */
export const counterNames = [
	'calls.answered',
	'calls.refused',
	'calls.sent_again',
	'bundle.refused',
	'bundle.conflicts',
	'audit.records',
] as const;

/** Gauges; each flush sends the current value. */
export const gaugeNames = [
	'calls.duration_p50_ms',
	'calls.duration_p99_ms',
	'calls.duration_max_ms',
	'bundle.version',
	'host.ready',
	'process.memory_bytes',
	'process.cpu_percent',
	'process.loop_delay_p99_ms',
] as const;

/** The name of a counter. */
export type CounterName = (typeof counterNames)[number];

/** The name of a gauge. */
export type GaugeName = (typeof gaugeNames)[number];
