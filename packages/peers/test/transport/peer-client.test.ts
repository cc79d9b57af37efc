/** Each message ends with a reply or an error, whatever the peer answers. */

import fs from 'node:fs';
import type {ServerResponse} from 'node:http';
import https from 'node:https';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {makeId, type HostId} from '@bilberryscale/core';
import {describe, it, sendAtRate} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CertificateAuthority} from '../../../standins/src/cluster/certificate-authority.js';
import {PeerClient, readTlsFiles, textReplySchema} from '../../src/index.js';

const address = '127.0.0.1';
const timeoutMs = 2000;

type Request = (client: PeerClient) => ReturnType<PeerClient['sendCall']>;

async function exchange(
	respond: (response: ServerResponse) => void,
	port: number,
	request: Request = async (client) =>
		client.sendCall('manifest', {}, textReplySchema, timeoutMs),
): Promise<string> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberryscale-'));
	const issuer = new CertificateAuthority(folder);
	const tls = readTlsFiles(await issuer.issue('server'));
	const server = https.createServer(tls, (incoming, response) => {
		incoming.resume();
		respond(response);
	});
	await new Promise<void>((resolve) => {
		server.listen(port, address, resolve);
	});
	const client = new PeerClient({
		peer: {host: makeId<HostId>('server'), address, port},
		tls: readTlsFiles(await issuer.issue('caller')),
		localAddress: address,
	});
	const reply = await Promise.race([request(client), sleep(2 * timeoutMs)]);
	await client.close();
	server.close();
	if (reply === undefined) {
		return 'hangs';
	}

	return reply.isOk()
		? `text ${textReplySchema.parse(reply.value).text}`
		: 'error';
}

describe('PeerClient', () => {
	let port = 28_430;
	const doTest = (
		name: string,
		status: number,
		text: string,
		expected: string,
	) => {
		const ownPort = port++;
		it(name, async () => {
			const respond = (response: ServerResponse) => {
				response.writeHead(status).end(text);
			};

			assert.is(await exchange(respond, ownPort), expected);
		});
	};

	const answer = (id: number, result: unknown) =>
		JSON.stringify({jsonrpc: '2.0', id, result});
	doTest(
		'accepts the answer to its message',
		200,
		answer(1, {text: 'a'}),
		'text a',
	);
	doTest(
		'rejects the answer to another message',
		200,
		answer(7, {text: 'a'}),
		'error',
	);
	doTest('rejects a malformed result', 200, answer(1, {texts: 1}), 'error');
	doTest(
		'rejects a document that is not JSON-RPC',
		503,
		'{"statusCode": 503}',
		'error',
	);
	doTest('rejects null', 200, 'null', 'error');
	doTest('rejects an HTML page', 200, '<html>', 'error');

	describe('fetchText', () => {
		// A part of a bundle that took longer than the timeout was requested anew without end.
		it('reads a long text over a narrow link for as long as it makes progress', async () => {
			const text = 'x'.repeat(200_000);
			const body = answer(1, {text});
			const respond = (response: ServerResponse) => {
				void sendAtRate(response, body, 200_000);
			};

			const request: Request = async (client) =>
				client.fetchText('part', {}, textReplySchema, 300);
			assert.is(await exchange(respond, port++, request), `text ${text}`);
		});
	});
});
