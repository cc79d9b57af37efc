/** Which peers and messages a host accepts. */

import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {makeId, type HostId, type IncarnationId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {CertificateAuthority} from '../../../standins/src/cluster/certificate-authority.js';
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
const incarnation = makeId<IncarnationId>('incarnation-2');
const state: PeerState = {
	clockMs: 1,
	phase: 'serving',
	bundleVersion: 3,
	held: '',
};
const heartbeat = {
	from: {host: 'caller', incarnation: 'incarnation-1'},
	sequence: 1,
	state,
	wanted: 'ff',
};

type ExchangeOptions = {
	readonly message?: object;
	/** Issues the caller's certificate; the issuer is that of the server. */
	readonly getTls?: (
		issuer: CertificateAuthority,
	) => Promise<Partial<TlsMaterial>>;
	readonly serverName?: string;
};

function createTemporaryFolder(): string {
	return fs.mkdtempSync(path.join(os.tmpdir(), 'bilberryscale-peers-'));
}

/** Sends one heartbeat and describes its outcome. */
async function exchange(
	options: ExchangeOptions,
	port: number,
): Promise<string> {
	const issuer = new CertificateAuthority(createTemporaryFolder());
	const refused: string[] = [];
	const server = new PeerServer({
		incarnation,
		tls: readTlsFiles(await issuer.issue(options.serverName ?? 'server')),
		handlers: {
			heartbeat: ({wanted}) => ({
				from: {host: makeId<HostId>('server'), incarnation},
				granted: wanted,
				state,
			}),
			async call() {
				throw new Error('unexpected call');
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
		tls: await (options.getTls ?? issueForCaller)(issuer),
		localAddress: address,
	});
	const reply = await client.sendHeartbeat(
		'heartbeat',
		{...heartbeat, ...options.message},
		heartbeatReplySchema,
		timeoutMs,
	);
	await client.close();
	await server.close();
	const outcome = reply.isOk() ? `granted ${reply.value.granted}` : 'no answer';
	return `${outcome}, ${refused.length} refused`;
}

async function issueForCaller(
	issuer: CertificateAuthority,
): Promise<TlsMaterial> {
	return readTlsFiles(await issuer.issue('caller'));
}

async function issueByOtherAuthority(
	issuer: CertificateAuthority,
): Promise<TlsMaterial> {
	const {ca} = await issueForCaller(issuer);
	const otherIssuer = new CertificateAuthority(createTemporaryFolder());
	return {...(await issueForCaller(otherIssuer)), ca};
}

async function getAuthorityOnly(
	issuer: CertificateAuthority,
): Promise<Partial<TlsMaterial>> {
	const {ca} = await issueForCaller(issuer);
	return {ca};
}

async function issueExpired(
	issuer: CertificateAuthority,
): Promise<TlsMaterial> {
	const expired = new Date('2020-01-01T00:00:00Z');
	return readTlsFiles(await issuer.issue('caller', expired));
}

describe('PeerServer', () => {
	let port = 28_400;
	const doTest = (name: string, options: ExchangeOptions, expected: string) => {
		const ownPort = port++;
		it(name, async () => {
			assert.is(await exchange(options, ownPort), expected);
		});
	};

	const granted = 'granted ff, 0 refused';
	const refused = 'no answer, 1 refused';
	const unanswered = 'no answer, 0 refused';
	const otherHost = {host: 'other', incarnation: 'incarnation-1'};
	doTest('answers a peer', {}, granted);
	doTest(
		'rejects a certificate of another authority',
		{getTls: issueByOtherAuthority},
		refused,
	);
	doTest('rejects an expired certificate', {getTls: issueExpired}, refused);
	doTest(
		'rejects a peer without a certificate',
		{getTls: getAuthorityOnly},
		refused,
	);
	doTest(
		'rejects a message that names another host as its sender',
		{message: {from: otherHost}},
		refused,
	);
	doTest('rejects a malformed message', {message: {wanted: '??'}}, refused);
	doTest(
		'does not answer a message for a former incarnation',
		{message: {to: 'incarnation-1'}},
		unanswered,
	);
	doTest(
		'accepts a message for this incarnation',
		{message: {to: 'incarnation-2'}},
		granted,
	);
	doTest(
		'gets no message if its certificate names another host',
		{serverName: 'impostor'},
		unanswered,
	);
});
