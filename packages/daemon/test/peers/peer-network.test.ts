/** A call is forwarded to the key owner, and its answer is returned unchanged. */

import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {
	makeId,
	notRunFailure,
	systemClock,
	type HostId,
	type IdempotencyKey,
	type IncarnationId,
	type RequestId,
} from '@bilberryscale/core';
import {defaultLeasePolicy} from '@bilberryscale/once';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {CertificateAuthority} from '../../../standins/src/cluster/certificate-authority.js';
import type {BundleStore} from '../../src/bundle-store/bundle-store.js';
import type {Log} from '../../src/logging/make-logger.js';
import {FleetView} from '../../src/peers/fleet-view.js';
import type {KeyedCall} from '../../src/peers/keyed-call.js';
import {PeerNetwork} from '../../src/peers/peer-network.js';
import type {FilterResult} from '../../src/pipeline/exchange.js';

const address = '127.0.0.1';
const ports = new Map([
	['entry', 28_420],
	['owner', 28_421],
]);
const body = Buffer.from([0, 255, 13, 10, 128]);
const headers = {'content-type': 'text/plain', 'x-two': ['a', 'b']};
const call: KeyedCall = {
	requestId: makeId<RequestId>('request-1'),
	key: makeId<IdempotencyKey>('019b0000-0000-7000-8000-000000000001'),
	isNew: false,
	method: 'POST',
	url: '/register/x?y=1',
	headers: {},
	body,
	deadlineMs: 0,
};

async function makeNetwork(
	name: string,
	certificates: CertificateAuthority,
	runForwarded: (call: KeyedCall) => Promise<FilterResult>,
): Promise<PeerNetwork> {
	const self = {
		host: makeId<HostId>(name),
		incarnation: makeId<IncarnationId>(`${name}/1`),
	};
	const view = new FleetView({
		self,
		policy: defaultLeasePolicy,
		clock: systemClock,
		audit: () => undefined,
		peerTimeoutMs: 60_000,
		isStandalone: false,
		getBundleVersion: () => 0,
	});
	view.setPublishedHosts(
		[...ports].map(([host, port]) => ({
			host: makeId<HostId>(host),
			address,
			port,
			isLeaving: false,
		})),
	);
	return new PeerNetwork({
		self,
		settings: {
			address,
			port: ports.get(name)!,
			...(await certificates.issue(name)),
		},
		view,
		store: {bundle: undefined, signed: undefined} as unknown as BundleStore,
		clock: systemClock,
		log: {warn: () => undefined} as unknown as Log,
		audit: () => undefined,
		runForwarded,
		heartbeatIntervalMs: 60_000,
	});
}

/** Forwards one call to an incarnation of the owner and returns the result. */
async function forward(
	runForwarded: (call: KeyedCall) => Promise<FilterResult>,
	incarnation: string,
): Promise<FilterResult> {
	const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberryscale-'));
	const certificates = new CertificateAuthority(directory);
	const owner = await makeNetwork('owner', certificates, runForwarded);
	const entry = await makeNetwork('entry', certificates, runForwarded);
	await owner.start();
	const peer = {
		identity: {
			host: makeId<HostId>('owner'),
			incarnation: makeId<IncarnationId>(incarnation),
		},
		state: {
			clockMs: 0,
			phase: 'serving' as const,
			bundleVersion: 0,
			held: '',
		},
		lastMessageAtMs: 0,
	};
	const deadlineMs = systemClock.monotonicMs() + 5000;
	const result = await entry.forward(peer, {...call, deadlineMs});
	await entry.close();
	await owner.close();
	return result;
}

describe('PeerNetwork', () => {
	it('forwards the complete call and returns the complete answer', async () => {
		let seen: KeyedCall | undefined;
		const result = await forward(async (forwarded) => {
			seen = forwarded;
			return Ok({status: 201, headers, body: forwarded.body});
		}, 'owner/1');
		assert.equal(seen?.body, body);
		assert.is(seen?.url, call.url);
		assert.is(seen?.key, call.key);
		assert.equal(result.unwrap(), {status: 201, headers, body});
	});

	it('returns a failure unchanged', async () => {
		const failure = notRunFailure('records-full', 'full', 10);
		const result = await forward(async () => Err(failure), 'owner/1');
		assert.equal(result.unwrapErr(), failure);
	});

	it('does not run a call meant for an earlier incarnation', async () => {
		let runs = 0;
		const result = await forward(async () => {
			runs++;
			return Ok({status: 201, headers, body});
		}, 'owner/0');
		assert.is(runs, 0);
		const {kind, ran} = result.unwrapErr();
		assert.equal({kind, ran}, {kind: 'home-unreachable', ran: 'unknown'});
	});
});
