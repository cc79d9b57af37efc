import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import {Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {makeCallerListener} from '../../src/http/caller-listener.js';
import type {Answer} from '../../src/pipeline/exchange.js';

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

type Session = {
	readonly text: string;
	/** The paths that the pipeline saw. */
	readonly seen: readonly string[];
};

/** Plays requests that come together; their answers take 30 ms. */
async function play(
	paths: readonly string[],
	options: {readonly isLeaving: boolean; readonly isOpenEnded?: boolean},
): Promise<Session> {
	const seen: string[] = [];
	const listener = makeCallerListener({
		clock: systemClock,
		log: {error: () => undefined},
		getClosedFailure: () => undefined,
		isLeaving: () => options.isLeaving,
		async pipeline({incoming: {url}}) {
			seen.push(url);
			await sleep(30);
			const answer: Answer = {
				status: 200,
				headers: {},
				body: Buffer.from(`answer to ${url}`),
				isOpenEnded: options.isOpenEnded === true,
			};
			return Ok(answer);
		},
	});
	const server = createServer();
	server.on('request', listener.onRequest);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const socket = net.connect((server.address() as AddressInfo).port);
	let text = '';
	socket.on('data', (chunk) => {
		text += chunk.toString();
	});
	socket.on('error', () => undefined);
	socket.write(paths.map((path) => get(path)).join(''));
	await sleep(150);
	socket.destroy();
	server.close();
	return {text, seen};
}

describe('caller listener', () => {
	describe('a host that leaves', () => {
		it('closes a connection only with the answer to its newest request', async () => {
			const {text} = await play(['/1', '/2', '/3'], {isLeaving: true});
			const [first = '', second = '', third = ''] = text
				.split('HTTP/1.1 200')
				.slice(1);
			assert.match(first, /connection: keep-alive.*answer to \/1/isv);
			assert.match(second, /connection: keep-alive.*answer to \/2/isv);
			assert.match(third, /connection: close.*answer to \/3/isv);
		});
	});

	describe('an answer that ends with its connection', () => {
		it('is replaced where later answers are due', async () => {
			const {text} = await play(['/1', '/2'], {
				isLeaving: false,
				isOpenEnded: true,
			});
			assert.match(text, /^HTTP\/1.1 502/v);
			assert.match(text, /answer to \/2$/v);
		});
	});
});
