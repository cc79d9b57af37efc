import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it, sendAtRate} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {PlatformClient} from '../../src/index.js';

type Handler = (response: http.ServerResponse, url: string) => void;

/** Runs a test with a client of local servers, one per handler. */
async function withClient(
	handlers: readonly Handler[],
	test: (client: PlatformClient) => Promise<void>,
	timeoutMs = 5000,
): Promise<void> {
	const servers = await Promise.all(
		handlers.map(async (handler) => {
			const server = http.createServer((request, response) => {
				handler(response, request.url ?? '');
			});
			await new Promise<void>((resolve) => {
				server.listen(0, '127.0.0.1', resolve);
			});
			return server;
		}),
	);
	const addresses = servers.map((server) => {
		const {port} = server.address() as AddressInfo;
		return `http://127.0.0.1:${port}`;
	});
	const client = new PlatformClient({addresses, timeoutMs});
	try {
		await test(client);
	} finally {
		await client.close();
		for (const server of servers) {
			server.closeAllConnections();
			server.close();
		}
	}
}

const respond =
	(status: number, body: string): Handler =>
	(response) => {
		response.writeHead(status).end(body);
	};

const value = JSON.stringify({revision: 3, value: 'text'});
const neverRespond: Handler = () => undefined;

describe('PlatformClient', () => {
	describe('readValue', () => {
		const doTest = async (
			handler: Handler,
			expected: string | undefined,
			error = '',
		) => {
			await withClient([handler], async (client) => {
				const outcome = await client.readValue('name');
				if (error === '') {
					assert.is(outcome.unwrap()?.value, expected);
				} else {
					assert.match(outcome.unwrapErr(), error);
				}
			});
		};

		it('returns a value, or undefined if there is nothing newer', async () => {
			await doTest(respond(200, value), 'text');
			await doTest(respond(304, ''), undefined);
			await doTest(respond(404, 'no such value'), undefined);
		});

		it('returns a one-megabyte value with every character escaped', async () => {
			const large = '"'.repeat(1_000_000);
			const body = JSON.stringify({revision: 1, value: large});
			await doTest(respond(200, body), large);
		});

		it('reports a malformed, oversized or error response', async () => {
			await doTest(respond(200, '{'), undefined, 'JSON');
			await doTest(respond(200, '[]'), undefined, 'malformed');
			await doTest(
				respond(200, '{"revision":-1,"value":""}'),
				undefined,
				'malformed',
			);
			await doTest(respond(200, ' '.repeat(2_300_000)), undefined, 'exceeded');
			await doTest(respond(500, ''), undefined, 'status 500');
		});

		// A value that took longer than the timeout was read anew without end.
		it('reads a long value over a narrow link for as long as it makes progress', async () => {
			const text = 'x'.repeat(200_000);
			const body = JSON.stringify({revision: 1, value: text});
			const handler: Handler = (response) => {
				void sendAtRate(response, body, 200_000);
			};

			await withClient(
				[handler],
				async (client) => {
					const outcome = await client.readValue('name');
					assert.is(outcome.unwrap()?.value, text);
				},
				300,
			);
		});

		it('soon leaves a platform that sends single bytes', async () => {
			const handler: Handler = (response) => {
				void sendAtRate(response, ' '.repeat(2000), 10);
			};

			await withClient(
				[handler],
				async (client) => {
					const startedAtMs = performance.now();
					const outcome = await client.readValue('name');
					assert.match(outcome.unwrapErr(), 'too little progress');
					assert.ok(performance.now() - startedAtMs < 1000);
				},
				300,
			);
		});

		it('sends the known revision and the wait', async () => {
			const urls: string[] = [];
			const handler: Handler = (response, url) => {
				urls.push(url);
				response.writeHead(304).end();
			};

			await withClient([handler], async (client) => {
				await client.readValue('bundle/manifest', 7, 20);
			});
			assert.equal(urls, ['/v1/values/bundle%2Fmanifest?after=7&wait=20']);
		});
	});

	describe('several addresses', () => {
		const doTest = async (first: Handler, timeoutMs?: number) => {
			await withClient(
				[first, respond(200, value)],
				async (client) => {
					const failed = await client.readValue('name');
					assert.ok(failed.isErr());
					const next = await client.readValue('name');
					assert.is(next.unwrap()?.value, 'text');
				},
				timeoutMs,
			);
		};

		it('switches to the next one after a failure', async () => {
			await doTest((response) => {
				response.destroy();
			});
			await doTest(respond(503, 'down'));
		});

		it('advances by one when concurrent reads fail', async () => {
			const handlers = [neverRespond, respond(200, value), neverRespond];
			await withClient(
				handlers,
				async (client) => {
					const reads = ['a', 'b'].map(async (name) => client.readValue(name));
					const outcomes = await Promise.all(reads);
					assert.ok(outcomes.every((outcome) => outcome.isErr()));
					const next = await client.readValue('name');
					assert.is(next.unwrap()?.value, 'text');
				},
				50,
			);
		});

		it('switches to the next one after a timeout', async () => {
			await doTest(neverRespond, 50);
		});
	});

	describe('readHosts', () => {
		const doTest = async (host: object, isValid: boolean) => {
			const body = JSON.stringify({revision: 1, hosts: [host]});
			await withClient([respond(200, body)], async (client) => {
				const outcome = await client.readHosts();
				assert.is(outcome.isOk(), isValid);
			});
		};

		it('reads the list and rejects a malformed one', async () => {
			const host = {
				id: 'entry-1',
				dataCentre: 'east',
				address: '127.0.0.1',
				peerPort: 8082,
				state: 'live',
			};
			await doTest(host, true);
			await doTest({...host, state: 'gone'}, false);
			await doTest({...host, peerPort: 0}, false);
		});
	});
});
