/** Who may talk to a host, and what it takes. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CertificateDesk} from '../../../standins/src/cluster/certificates.js';
import {
	PeerClient,
	PeerServer,
	heartbeatReplySchema,
	readTlsFiles,
	type PeerState,
	type TlsMaterial,
} from '../../src/index.js';

const address = '127.0.0.1';
const timeoutMs = 5000;
const incarnation = makeId<IncarnationId>('life-2');
const state: PeerState = {
	clockMs: 1,
	phase: 'serving',
	bundleVersion: 3,
	held: '',
};
const heartbeat = {
	from: {host: 'caller', incarnation: 'life-1'},
	sequence: 1,
	state,
	wanted: 'ff',
};

type Call = {
	readonly message?: object;
	/** Gets the caller's certificate; the desk is the server's. */
	readonly getTls?: (desk: CertificateDesk) => Promise<Partial<TlsMaterial>>;
	readonly serverName?: string;
};

function makeFolder(): string {
	return fs.mkdtempSync(path.join(os.tmpdir(), 'bilberryscale-peers-'));
}

/** Sends one heartbeat and gets what it came to. */
async function exchange(call: Call, port: number): Promise<string> {
	const desk = new CertificateDesk(makeFolder());
	const refused: string[] = [];
	const server = new PeerServer({
		incarnation,
		tls: readTlsFiles(await desk.issue(call.serverName ?? 'server')),
		handlers: {
			heartbeat: ({wanted}) => ({
				from: {host: makeId<HostId>('server'), incarnation},
				granted: wanted,
				state,
			}),
			async call() {
				throw new Error('not asked for');
			},
			getManifest: () => ({text: null}),
			getPart: () => ({text: null}),
		},
		onRefused(_, cause) {
			refused.push(cause);
		},
	});
	await server.listen(address, port);
	const client = new PeerClient({
		peer: {host: makeId<HostId>('server'), address, port},
		tls: await (call.getTls ?? issueToCaller)(desk),
		localAddress: address,
	});
	const reply = await client.sendHeartbeat(
		'heartbeat',
		{...heartbeat, ...call.message},
		heartbeatReplySchema,
		timeoutMs,
	);
	await client.close();
	await server.close();
	const outcome = reply.isOk() ? `granted ${reply.value.granted}` : 'no answer';
	return `${outcome}, ${refused.length} refused`;
}

async function issueToCaller(desk: CertificateDesk): Promise<TlsMaterial> {
	return readTlsFiles(await desk.issue('caller'));
}

async function issueByStranger(desk: CertificateDesk): Promise<TlsMaterial> {
	const {ca} = await issueToCaller(desk);
	const stranger = new CertificateDesk(makeFolder());
	return {...(await issueToCaller(stranger)), ca};
}

async function issueNone(desk: CertificateDesk): Promise<Partial<TlsMaterial>> {
	const {ca} = await issueToCaller(desk);
	return {ca};
}

async function issueExpired(desk: CertificateDesk): Promise<TlsMaterial> {
	const expired = new Date('2020-01-01T00:00:00Z');
	return readTlsFiles(await desk.issue('caller', expired));
}

describe('PeerServer', () => {
	let port = 28_400;
	const doTest = (name: string, call: Call, expected: string) => {
		const ownPort = port++;
		it(name, async () => {
			assert.is(await exchange(call, ownPort), expected);
		});
	};

	const granted = 'granted ff, 0 refused';
	const refused = 'no answer, 1 refused';
	const unheard = 'no answer, 0 refused';
	const other = {host: 'other', incarnation: 'life-1'};
	doTest('answers a peer', {}, granted);
	doTest('takes no stranger', {getTls: issueByStranger}, refused);
	doTest('takes no expired certificate', {getTls: issueExpired}, refused);
	doTest('takes no peer without one', {getTls: issueNone}, refused);
	doTest('takes no other name', {message: {from: other}}, refused);
	doTest('takes no malformed message', {message: {wanted: '??'}}, refused);
	doTest('takes nothing for a former life', {message: {to: 'life-1'}}, unheard);
	doTest('takes what is for this life', {message: {to: 'life-2'}}, granted);
	doTest('is not taken for another', {serverName: 'impostor'}, unheard);
});
