import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	AllotmentGate,
	type AllotmentDecision,
} from '../../src/accounts/allotment-gate.js';
import type {
	AllotmentMessage,
	TokenReply,
	TokenRequest,
} from '../../src/accounts/allotment-message.js';
import {defaultAllotmentBound} from '../../src/accounts/allotment-tolerance.js';
import {KnownHosts} from '../../src/fleet/known-hosts.js';
import {EventLog} from '../../src/records/event-log.js';
import {GatewayMetrics} from '../../src/records/gateway-metrics.js';
import {getRendezvousRank} from '../../src/targets/get-rendezvous-rank.js';
import {makeAccount} from './gate-fleet.js';

const account = makeAccount('a', 5);
/** Hosts in the order in which they own the account. */
const [owner, fallback, self] = ['10.0.0.1', '10.0.0.2', '10.0.0.3'].toSorted(
	(a, b) =>
		getRendezvousRank(a, account.name) - getRendezvousRank(b, account.name),
) as [string, string, string];
const peers = [{address: owner}, {address: fallback}];
/** Longer than the time after which a host without a reply is skipped. */
const skipMs = 85;

/** A gate between two hosts whose messages the test writes. */
function makeGate() {
	const clock = new ManualClock();
	const requests: Array<TokenRequest & {readonly address: string}> = [];
	/** The hosts that got a token back. */
	const returnedTo: string[] = [];
	const knownHosts = new KnownHosts({
		clock,
		random: () => 0,
		self,
		getPeers: () => peers,
		getSeeds: () => [],
		send: () => undefined,
	});
	const gate = new AllotmentGate({
		clock,
		random: () => 0,
		log: new EventLog({clock, origin: {}, writeLine: () => undefined}),
		metrics: new GatewayMetrics(),
		self,
		knownHosts,
		send(address: string, message: AllotmentMessage) {
			if (message.method === 'token-request') {
				requests.push({...message, address});
			} else if (message.method === 'token-return') {
				returnedTo.push(address);
			}
		},
		getBound: () => defaultAllotmentBound,
	});
	gate.setAccounts(1, [account]);
	return {clock, gate, requests, returnedTo};
}

function makeReply(requestNumber: number, granted: number): TokenReply {
	return {
		method: 'token-reply',
		requestNumber,
		granted,
		validMs: 300,
		retryAfterMs: granted > 0 ? 0 : 200,
		owner: undefined,
	};
}

async function settle(): Promise<void> {
	await new Promise(setImmediate);
}

describe('AllotmentGate', () => {
	describe('receive', () => {
		it('keeps the request to the next host open when tokens arrive late', async () => {
			// Guards against requests that are refused by the answer to a token request for others, and against two
			// token requests of an account at once, whose tokens then expire unused.
			const {clock, gate, requests} = makeGate();
			const decisions: AllotmentDecision[] = [];
			for (const id of ['first', 'second']) {
				void gate.take(account, id).then((decision) => {
					decisions.push(decision);
				});
			}

			clock.advance(skipMs);
			assert.equal(
				requests.map(({address}) => address),
				[owner, owner, fallback],
			);
			const openNumber = requests.at(-1)!.requestNumber;
			gate.receive(makeReply(requests[0]!.requestNumber, 1), owner);
			await settle();
			assert.equal(
				decisions.map(({isGranted}) => isGranted),
				[true],
			);
			assert.is(requests.length, 3, 'no second token request at once');

			gate.receive(makeReply(openNumber, 0), fallback);
			await settle();
			assert.is(decisions.length, 1, 'the second request was not asked for');
			const last = requests.at(-1)!;
			assert.is(requests.length, 4);
			assert.is(last.needed, 1);
			gate.receive(makeReply(last.requestNumber, 1), last.address);
			await settle();
			assert.equal(
				decisions.map(({isGranted}) => isGranted),
				[true, true],
			);
			gate.stop();
		});
	});

	describe('giveBack', () => {
		it('returns each token to the host that has granted it', async () => {
			// Guards against a token of a fallback owner that adds to the bucket of the owner, or the other way round.
			const {clock, gate, requests, returnedTo} = makeGate();
			const taking = [
				gate.take(account, 'first'),
				gate.take(account, 'second'),
			];
			clock.advance(skipMs);
			const {requestNumber} = requests.at(-1)!;
			gate.receive(makeReply(requests[0]!.requestNumber, 1), owner);
			gate.receive(makeReply(requestNumber, 1), fallback);
			for (const decision of await Promise.all(taking)) {
				assert.ok(decision.isGranted);
				gate.giveBack(account, decision.token);
			}

			assert.equal(returnedTo, [owner, fallback]);
			gate.stop();
		});
	});
});
