import {once} from 'node:events';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallerListener} from '@bilberryscale/daemon/edge';
import {describe, getFreePorts, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CallerServer} from '../../src/edge.js';

const loopback = '127.0.0.1';

function makeListener(paths: string[]): CallerListener {
	return {
		onRequest(request, response) {
			paths.push(request.url!);
			response.end('served');
		},
		onConnect: (_request, socket) => socket.destroy(),
		onExpectation: (_request, response) => response.end(),
		onClientError: (_error, socket) => socket.destroy(),
	};
}

async function fetchText(url: string): Promise<string> {
	const response = await fetch(url);
	return response.text();
}

async function withEdge(
	body: (edge: CallerServer, url: string) => Promise<void>,
): Promise<void> {
	const edge = new CallerServer();
	const [port] = await getFreePorts(loopback, 1);
	await edge.listen({address: loopback, port: port!});
	try {
		await body(edge, `http://${loopback}:${port}`);
	} finally {
		edge.close();
	}
}

describe('CallerServer', () => {
	describe('setTimeouts', () => {
		it('rejects a request whose headers arrive too slowly', async () => {
			await withEdge(async (edge, url) => {
				edge.setTimeouts({headerTimeoutMs: 100, idleTimeoutMs: 1000});
				const paths: string[] = [];
				edge.setListener({
					...makeListener(paths),
					onClientError(error, socket) {
						paths.push(error.code!);
						socket.destroy();
					},
				});
				const {hostname, port} = new URL(url);
				const startedAtMs = performance.now();
				const socket = net.connect(Number(port), hostname);
				socket.write('GET / HTTP/1.1\r\n');
				await once(socket, 'close');
				const tookMs = performance.now() - startedAtMs;
				assert.ok(tookMs < 3000, `${tookMs} ms`);
				assert.equal(paths, ['ERR_HTTP_REQUEST_TIMEOUT']);
			});
		});
	});

	describe('setListener, when requests arrive before the rest is loaded', () => {
		it('accepts connections and handles their requests later', async () => {
			await withEdge(async (edge, url) => {
				const answer = fetchText(`${url}/early`);
				await sleep(30);
				const paths: string[] = [];
				edge.setListener(makeListener(paths));
				assert.is(await answer, 'served');
				assert.is(await fetchText(`${url}/late`), 'served');
				assert.equal(paths, ['/early', '/late']);
			});
		});

		it('drops pending requests whose caller has disconnected', async () => {
			await withEdge(async (edge, url) => {
				const gone = new AbortController();
				const answer = fetch(`${url}/gone`, {signal: gone.signal});
				await sleep(30);
				gone.abort();
				await answer.catch(() => undefined);
				await sleep(30);
				const paths: string[] = [];
				edge.setListener(makeListener(paths));
				assert.is(await fetchText(`${url}/next`), 'served');
				assert.equal(paths, ['/next']);
			});
		});
	});
});
