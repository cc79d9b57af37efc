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
	incarnation: 'life-1',
	dataCentre: 'east',
	isReady: true,
	bundleVersion: 3,
	bundleDigest: undefined,
	dataCentresOut: [],
};

function makeServer(isReady = true, asked: number[] = []) {
	return makeOperatorServer({
		token,
		getStatus: () => ({...status, isReady}),
		getAudit(fromSequence) {
			asked.push(fromSequence);
			return [];
		},
		getCalls: (requestId) => [
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

		it('lets in who has it', async () => {
			await doTest(`Bearer ${token}`, [200, 200, 200, 404]);
		});

		it('refuses a wrong or absent one everywhere', async () => {
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

		it('needs no token and tells the balancer', async () => {
			await doTest(true, 200);
			await doTest(false, 503);
		});
	});

	describe('/audit', () => {
		const doTest = async (
			query: string,
			expectedCode: number,
			expectedFrom: readonly number[],
		) => {
			const asked: number[] = [];
			const answer = await makeServer(true, asked).inject({
				url: `/audit${query}`,
				headers: {authorization: `Bearer ${token}`},
			});
			assert.is(answer.statusCode, expectedCode);
			assert.equal(asked, expectedFrom);
		};

		it('starts where it is asked to', async () => {
			await doTest('', 200, [0]);
			await doTest('?from=7', 200, [7]);
			await doTest('?from=7&incarnation=life-1', 200, [7]);
		});

		it('starts anew for who knows a former life', async () => {
			await doTest('?from=7&incarnation=life-0', 200, [0]);
		});

		it('refuses what is not a number', async () => {
			await doTest('?from=x', 400, []);
			await doTest('?from=-1', 400, []);
		});
	});
});
