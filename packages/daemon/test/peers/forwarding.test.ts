/** A call goes to the home of its key and comes back whole. */

import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {
	makeId,
	notRun,
	systemClock,
	type HostId,
	type IdempotencyKey,
	type IncarnationId,
	type RequestId,
} from '@bilberryscale/core';
import {usualPolicy} from '@bilberryscale/once';
import {describe, it} from '@bilberryscale/testing';
import {Err, Ok} from 'ts-results-es';
import * as assert from 'uvu/assert';
import {CertificateDesk} from '../../../standins/src/cluster/certificates.js';
import type {BundleStore} from '../../src/bundle-store/bundle-store.js';
import type {Log} from '../../src/logging/make-logger.js';
import {FleetView} from '../../src/peers/fleet-view.js';
import type {KeyedCall} from '../../src/peers/keyed-call.js';
import {PeerNetwork} from '../../src/peers/peer-network.js';
import type {FilterResult} from '../../src/pipeline/exchange.js';

const address = '127.0.0.1';
const ports = new Map([
	['entry', 28_420],
	['home', 28_421],
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
	desk: CertificateDesk,
	runForwarded: (call: KeyedCall) => Promise<FilterResult>,
): Promise<PeerNetwork> {
	const self = {
		host: makeId<HostId>(name),
		incarnation: makeId<IncarnationId>(`${name}/1`),
	};
	const view = new FleetView({
		self,
		policy: usualPolicy,
		clock: systemClock,
		audit: () => undefined,
		silenceMs: 60_000,
		isAlone: false,
		getBundleVersion: () => 0,
	});
	view.setPublished(
		[...ports].map(([host, port]) => ({
			host: makeId<HostId>(host),
			address,
			port,
			isLeaving: false,
		})),
	);
	return new PeerNetwork({
		self,
		settings: {address, port: ports.get(name)!, ...(await desk.issue(name))},
		view,
		store: {bundle: undefined, signed: undefined} as unknown as BundleStore,
		clock: systemClock,
		log: {warn: () => undefined} as unknown as Log,
		audit: () => undefined,
		runForwarded,
		heartbeatMs: 60_000,
	});
}

/** Forwards one call to a life of the home and gets what came back. */
async function forward(
	runForwarded: (call: KeyedCall) => Promise<FilterResult>,
	life: string,
): Promise<FilterResult> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberryscale-'));
	const desk = new CertificateDesk(folder);
	const home = await makeNetwork('home', desk, runForwarded);
	const entry = await makeNetwork('entry', desk, runForwarded);
	await home.start();
	const peer = {
		identity: {
			host: makeId<HostId>('home'),
			incarnation: makeId<IncarnationId>(life),
		},
		state: {
			clockMs: 0,
			phase: 'serving' as const,
			bundleVersion: 0,
			held: '',
		},
		heardAtMs: 0,
	};
	const deadlineMs = systemClock.monotonicMs() + 5000;
	const result = await entry.forward(peer, {...call, deadlineMs});
	await entry.close();
	await home.close();
	return result;
}

describe('PeerNetwork', () => {
	it('brings the whole call there and the whole answer back', async () => {
		let seen: KeyedCall | undefined;
		const result = await forward(async (forwarded) => {
			seen = forwarded;
			return Ok({status: 201, headers, body: forwarded.body});
		}, 'home/1');
		assert.equal(seen?.body, body);
		assert.is(seen?.url, call.url);
		assert.is(seen?.key, call.key);
		assert.equal(result.unwrap(), {status: 201, headers, body});
	});

	it('brings a failure back as it is', async () => {
		const failure = notRun('records-full', 'full', 10);
		const result = await forward(async () => Err(failure), 'home/1');
		assert.equal(result.unwrapErr(), failure);
	});

	it('runs nothing that was meant for a former life', async () => {
		let runs = 0;
		const result = await forward(async () => {
			runs++;
			return Ok({status: 201, headers, body});
		}, 'home/0');
		assert.is(runs, 0);
		const {kind, ran} = result.unwrapErr();
		assert.equal({kind, ran}, {kind: 'home-unreachable', ran: 'unknown'});
	});
});
