import {
	createServer,
	type IncomingHttpHeaders,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Readable} from 'node:stream';
import type {AddressInfo} from 'node:net';
import {makeId, systemClock, type RequestId} from '@bilberryscale/core';
import {Exchange} from '@bilberryscale/daemon/edge';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Forwarder} from '../../src/forwarding/forwarder.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import type {RoutedRequest} from '../../src/relay/request-reader.js';
import {
	east,
	makeAccount,
	makeRoute,
	makeTestLog,
	reading,
	testProtocol,
} from '../fixtures.js';

const forwarding = {attemptsLeft: 2, isCounted: false};
const checksAccounts = {'bilberryscale-checks-accounts': '1'};

function makeRequest(
	id: string,
	headers: IncomingHttpHeaders,
	hasAccounts: boolean,
): RoutedRequest {
	return {
		exchange: new Exchange({
			requestId: makeId<RequestId>(id),
			method: 'GET',
			url: '/a/x',
			headers: {host: 'a.example', ...headers},
			body: Readable.from([]),
			receivedAtMs: systemClock.monotonicMs(),
			signal: new AbortController().signal,
		}),
		route: makeRoute(),
		service: reading,
		deadlineMs: systemClock.monotonicMs() + 1000,
		body: undefined,
		isReturning: false,
		elapsedMs: 0,
		account: hasAccounts ? makeAccount('a', ['secret']) : undefined,
		priority: 1,
		hasAccounts,
	};
}

async function listen(
	server: Server,
	port: number,
	address: string,
): Promise<void> {
	return new Promise((resolve) => {
		server.listen(port, address, resolve);
	});
}

/** Runs a forwarder beside other hosts, which respond to requests as given. */
async function withHost(
	respond: (request: IncomingMessage, response: ServerResponse) => void,
	body: (
		forwarder: Forwarder,
		received: readonly IncomingHttpHeaders[],
	) => Promise<void>,
	healthHeaders: Readonly<Record<string, string>> = checksAccounts,
	addresses: readonly string[] = ['127.0.0.1'],
): Promise<void> {
	const received: IncomingHttpHeaders[] = [];
	const handle = (request: IncomingMessage, response: ServerResponse) => {
		if (request.url === '/forwarding-health') {
			response.writeHead(200, {
				'bilberryscale-host': request.socket.localAddress,
				...healthHeaders,
			});
			response.end();
			return;
		}

		received.push(request.headers);
		respond(request, response);
	};

	const servers = addresses.map(() => createServer(handle));
	const [first, ...others] = servers;
	await listen(first!, 0, addresses[0]!);
	const {port} = first!.address() as AddressInfo;
	for (const [index, server] of others.entries()) {
		await listen(server, port, addresses[index + 1]!);
	}

	const forwarder = new Forwarder({
		clock: systemClock,
		log: makeTestLog(systemClock).log,
		metrics: new GatewayMetrics(),
		localAddress: '127.0.0.1',
		port,
		getPeers: () => addresses.map((address) => ({address, dataCentre: east})),
		callerProtocol: {
			requestIdHeader: 'id',
			runStateHeader: 'run-state',
			formatRetryAfter: String,
		},
		targetProtocol: {
			...testProtocol,
			isSealed: (headers) => headers.seal !== undefined,
		},
		isShuttingDown: () => false,
		hasAccounts: () => true,
	});
	try {
		await body(forwarder, received);
	} finally {
		forwarder.close();
		for (const server of servers) {
			server.close();
			server.closeAllConnections();
		}
	}
}

function serve({headers}: IncomingMessage, response: ServerResponse): void {
	response.writeHead(200, {id: headers.id, seal: 'x'});
	response.end('done');
}

function refuseKey({headers}: IncomingMessage, response: ServerResponse): void {
	response.writeHead(401, {id: headers.id, 'run-state': 'not-run'});
	response.end();
}

/** Answers with trailers that don't end. */
function flood({headers}: IncomingMessage, response: ServerResponse): void {
	response.socket!.write(
		`HTTP/1.1 200 OK\r\nid: ${headers.id as string}\r\nseal: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${'a:b\r\n'.repeat(100_000)}`,
	);
}

describe('Forwarder', () => {
	// Such a host got every request that this one couldn't send itself.
	it('leaves a host alone for a moment that answers with bytes without end', async () => {
		await withHost(flood, async (forwarder, received) => {
			const flooded = makeRequest('r', {credential: 'secret'}, true);
			const forwarded = await forwarder.forward(flooded, forwarding);
			assert.is(forwarded?.result.kind, 'failed');
			const next = makeRequest('s', {credential: 'secret'}, true);
			assert.is(await forwarder.forward(next, forwarding), undefined);
			assert.is(received.length, 1);
		});
	});

	// Guards against a hop that loses the key, which the other host needs to check the request itself.
	it('passes the key on to the other host, and no account that the caller names', async () => {
		await withHost(serve, async (forwarder, received) => {
			const headers = {
				credential: 'secret',
				account: 'forged',
				connection: 'credential',
			};
			const forwarded = await forwarder.forward(
				makeRequest('r', headers, true),
				forwarding,
			);
			assert.is(forwarded?.result.kind, 'answered');
			assert.is(received[0]?.credential, 'secret');
			assert.is(received[0]?.account, undefined);
		});
	});

	it('passes headers as they are if the plan has no accounts', async () => {
		await withHost(serve, async (forwarder, received) => {
			const headers = {credential: 'secret', account: 'any'};
			await forwarder.forward(makeRequest('r', headers, false), forwarding);
			assert.is(received[0]?.credential, 'secret');
			assert.is(received[0]?.account, 'any');
		});
	});

	it('sends nothing to a host that does not check keys', async () => {
		await withHost(
			serve,
			async (forwarder, received) => {
				const request = makeRequest('r', {credential: 'secret'}, true);
				assert.is(await forwarder.forward(request, forwarding), undefined);
				assert.equal(received, []);
			},
			{},
		);
	});

	// Guards against one refused key that makes a host avoid the others for all requests.
	it('returns a refused key and still uses the host for the next request', async () => {
		await withHost(refuseKey, async (forwarder, received) => {
			for (const id of ['r', 's']) {
				const request = makeRequest(id, {credential: 'secret'}, true);
				const forwarded = await forwarder.forward(request, forwarding);
				assert.is(forwarded?.result.kind, 'refused');
			}

			assert.is(received.length, 2);
		});
	});

	describe('after a refusal', () => {
		// Guards against retries that no host counts, as users saw while hosts reached no target.
		function doTest(
			name: string,
			input: Readonly<Record<string, string>>,
			expected: number,
		): void {
			it(name, async () => {
				const refuse = (
					{headers}: IncomingMessage,
					response: ServerResponse,
				) => {
					response.writeHead(503, {
						id: headers.id,
						'run-state': 'not-run',
						...input,
					});
					response.end();
				};

				await withHost(
					refuse,
					async (forwarder, received) => {
						const request = makeRequest('r', {}, false);
						await forwarder.forward(request, forwarding);
						assert.is(received.length, expected);
					},
					checksAccounts,
					['127.0.0.1', '127.0.0.2', '127.0.0.3'],
				);
			});
		}

		doTest(
			'asks no further host if targets have refused the request',
			{
				'bilberryscale-sent-copies': '1',
				'bilberryscale-unsettled-copies': '0',
			},
			1,
		);
		doTest('asks no further host if the number of copies is unknown', {}, 1);
		doTest(
			'asks others if it was sent to no target',
			{
				'bilberryscale-sent-copies': '0',
				'bilberryscale-unsettled-copies': '0',
			},
			3,
		);
	});

	describe('attempts at the other host', () => {
		// Guards against more attempts than the route allows, as each host counted only its own.
		function doTest(
			name: string,
			input: Readonly<Record<string, string>>,
			expected: number,
		): void {
			it(name, async () => {
				const fail = ({headers}: IncomingMessage, response: ServerResponse) => {
					response.writeHead(502, {id: headers.id, ...input});
					response.end();
				};

				await withHost(fail, async (forwarder) => {
					const forwarded = await forwarder.forward(
						makeRequest('r', {}, false),
						{attemptsLeft: 3, isCounted: true},
					);
					assert.is(forwarded?.otherExecutions, expected);
					const result = forwarded?.result;
					assert.is(
						result?.kind === 'answered' &&
							Object.hasOwn(result.answer.headers, 'bilberryscale-sent-copies'),
						false,
					);
				});
			});
		}

		doTest(
			'are added to those of this one',
			{
				'bilberryscale-sent-copies': '3',
				'bilberryscale-unsettled-copies': '2',
			},
			1,
		);
		doTest('count as used up if their number is unknown', {}, 2);
	});

	it('leaves it to the other host to count a request that this one has not counted', async () => {
		await withHost(serve, async (forwarder, received) => {
			for (const isCounted of [false, true]) {
				await forwarder.forward(makeRequest('r', {}, false), {
					attemptsLeft: 2,
					isCounted,
				});
			}

			assert.equal(
				received.map((headers) => headers['bilberryscale-uncounted']),
				['1', undefined],
			);
		});
	});
});
