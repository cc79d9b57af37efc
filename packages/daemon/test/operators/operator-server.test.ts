import {makeId, type RequestId} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	makeOperatorServer,
	type HostStatus,
} from '../../src/operators/operator-server.js';

const token = 'a-token-of-operators';
const status: HostStatus = {
	host: 'entry-1',
	incarnation: 'incarnation-1',
	dataCentre: 'east',
	isReady: true,
	bundleVersion: 3,
	bundleDigest: undefined,
	dataCentresOut: [],
};

function makeServer(isReady = true, requestedSequences: number[] = []) {
	return makeOperatorServer({
		token,
		getStatus: () => ({...status, isReady}),
		getAuditRecords(fromSequence) {
			requestedSequences.push(fromSequence);
			return [];
		},
		getCallRecords: (requestId) => [
			{
				requestId: makeId<RequestId>(requestId),
				endedAt: new Date(0),
				sends: 1,
				service: undefined,
				method: 'GET',
				isIdempotent: undefined,
				hasKey: false,
				isOrdinary: false,
				outcome: 'service-unknown, not-run',
				durationMs: 1,
				decisions: [],
			},
		],
	});
}

describe('makeOperatorServer', () => {
	describe('token', () => {
		const paths = ['/status', '/audit', '/explain/r-1', '/no-such-path'];
		const doTest = async (
			authorization: string | undefined,
			expected: readonly number[],
		) => {
			const codes: number[] = [];
			for (const url of paths) {
				const headers = authorization === undefined ? {} : {authorization};
				const answer = await makeServer().inject({url, headers});
				codes.push(answer.statusCode);
				if (answer.statusCode === 401) {
					assert.not.match(answer.body, 'entry-1');
				}
			}

			assert.equal(codes, expected);
		};

		it('is accepted', async () => {
			await doTest(`Bearer ${token}`, [200, 200, 200, 404]);
		});

		it('is rejected on every path if it is wrong or missing', async () => {
			const refused = [401, 401, 401, 401];
			await doTest(undefined, refused);
			await doTest('', refused);
			await doTest('Bearer ', refused);
			await doTest('Bearer a-token-of-operatorz', refused);
			await doTest(`Bearer ${token}x`, refused);
			await doTest(`bearer ${token}`, refused);
			await doTest(token, refused);
			await doTest(`Basic ${token}`, refused);
		});
	});

	describe('/ready', () => {
		const doTest = async (isReady: boolean, expected: number) => {
			const answer = await makeServer(isReady).inject({url: '/ready'});
			assert.is(answer.statusCode, expected);
			assert.equal(answer.json(), {isReady});
		};

		it('reports readiness without a token', async () => {
			await doTest(true, 200);
			await doTest(false, 503);
		});
	});

	describe('/audit', () => {
		const doTest = async (
			query: string,
			expectedCode: number,
			expectedSequences: readonly number[],
		) => {
			const requestedSequences: number[] = [];
			const answer = await makeServer(true, requestedSequences).inject({
				url: `/audit${query}`,
				headers: {authorization: `Bearer ${token}`},
			});
			assert.is(answer.statusCode, expectedCode);
			assert.equal(requestedSequences, expectedSequences);
		};

		it('returns records from the requested sequence number', async () => {
			await doTest('', 200, [0]);
			await doTest('?from=7', 200, [7]);
			await doTest('?from=7&incarnation=incarnation-1', 200, [7]);
		});

		it('returns all records if the query names another incarnation', async () => {
			await doTest('?from=7&incarnation=incarnation-0', 200, [0]);
		});

		it('rejects a sequence number that is not a number', async () => {
			await doTest('?from=x', 400, []);
			await doTest('?from=-1', 400, []);
		});
	});
});
