/** The documents that operators and servers write to the store, after PROTOCOL.md. */

/* eslint camelcase: 'off' -- the platform's documents have field names of their own. */

export const host = 'hulo84.example';

const zones = ['ub-bayanzurkh', 'ub-khan-uul', 'ub-songino'];

/** Makes a configuration; each route is `{prefix, type, service, timeoutMs, attempts}`. */
export function makeConfig(version, routes, services) {
	return {
		version: version.toString(16).padStart(8, '0'),
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 1_048_576,
			header_timeout_ms: 5000,
			idle_timeout_ms: 15_000,
		},
		listeners: [
			{
				host,
				rule_set: routes.map(
					({prefix, type, service, timeoutMs = 10_000, attempts = 2}) => ({
						name: `route${prefix.replaceAll('/', '-')}`,
						type,
						priority: 1,
						target_latency_ms: 2000,
						match: {prefix},
						action: {service, timeout_ms: timeoutMs, max_attempts: attempts},
					}),
				),
			},
		],
		clusters: services.map((name) => ({
			name,
			health_path: '/healthz',
			max_conns: 220,
			warmup_per_s: 2,
		})),
	};
}

/** Makes the entry of a server. */
export function makeEntry(
	{address, service, bornMs, zone = 0},
	{seq = 1, state = 'ready', slots = 4} = {},
) {
	return {
		born: bornMs,
		address,
		info: {service, version: '1.0', zone: zones[zone % zones.length], slots},
		status: {state, seq, warmup_left_ms: 0},
	};
}
