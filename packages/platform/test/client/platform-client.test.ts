import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {PlatformClient} from '../../src/index.js';

type Handler = (response: http.ServerResponse, url: string) => void;

/** Runs a test against servers on this machine, one for each handler. */
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

const answer =
	(status: number, body: string): Handler =>
	(response) => {
		response.writeHead(status).end(body);
	};

const value = JSON.stringify({revision: 3, value: 'text'});
const silence: Handler = () => undefined;

describe('PlatformClient', () => {
	describe('readValue', () => {
		const doTest = async (
			handler: Handler,
			expected: string | undefined,
			fault = '',
		) => {
			await withClient([handler], async (client) => {
				const outcome = await client.readValue('name');
				if (fault === '') {
					assert.is(outcome.unwrap()?.value, expected);
				} else {
					assert.match(outcome.unwrapErr(), fault);
				}
			});
		};

		it('gives a value, or nothing if there is none newer', async () => {
			await doTest(answer(200, value), 'text');
			await doTest(answer(304, ''), undefined);
			await doTest(answer(404, 'no such value'), undefined);
		});

		it('gives a value of a megabyte whose every character is escaped', async () => {
			const large = '"'.repeat(1_000_000);
			const body = JSON.stringify({revision: 1, value: large});
			await doTest(answer(200, body), large);
		});

		it('tells an answer that is malformed, too large or an error', async () => {
			await doTest(answer(200, '{'), undefined, 'JSON');
			await doTest(answer(200, '[]'), undefined, 'malformed');
			await doTest(
				answer(200, '{"revision":-1,"value":""}'),
				undefined,
				'malformed',
			);
			await doTest(answer(200, ' '.repeat(2_300_000)), undefined, 'exceeded');
			await doTest(answer(500, ''), undefined, 'status 500');
		});

		it('asks for what is newer', async () => {
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
				[first, answer(200, value)],
				async (client) => {
					const failed = await client.readValue('name');
					assert.ok(failed.isErr());
					const next = await client.readValue('name');
					assert.is(next.unwrap()?.value, 'text');
				},
				timeoutMs,
			);
		};

		it('goes on to the next one after a failure', async () => {
			await doTest((response) => {
				response.destroy();
			});
			await doTest(answer(503, 'down'));
		});

		it('goes on by one when several reads fail together', async () => {
			const handlers = [silence, answer(200, value), silence];
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

		it('goes on to the next one after a silence', async () => {
			await doTest(silence, 50);
		});
	});

	describe('readHosts', () => {
		const doTest = async (host: object, isGood: boolean) => {
			const body = JSON.stringify({revision: 1, hosts: [host]});
			await withClient([answer(200, body)], async (client) => {
				const outcome = await client.readHosts();
				assert.is(outcome.isOk(), isGood);
			});
		};

		it('reads the list and tells one that is malformed', async () => {
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
