import {ManualClock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {waitUntil, withEdge, type Edge} from '../utils/edge.js';
import type {RawScript} from '../utils/raw-target.js';

type ExpectedProblem = {
	readonly status: number;
	readonly kind: string;
	readonly ran: string;
};

const answerOk: RawScript = ({socket}) => {
	socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
};

const neverAnswer: RawScript = () => undefined;

function makeHead(requestLine: string, ...headers: string[]): string {
	return `${[`${requestLine} HTTP/1.1`, 'Host: a', ...headers].join('\r\n')}\r\n\r\n`;
}

function getLastHead(edge: Edge): string {
	return edge.target.requests.at(-1)!.head.toLowerCase();
}

describe('caller server', () => {
	describe('rejected requests', () => {
		function doTest(
			name: string,
			text: string,
			expected: ExpectedProblem,
		): void {
			it(name, async () =>
				withEdge({script: answerOk, headTimeoutMs: 100}, async (edge) => {
					const answer = await edge.exchange(text);
					const type = answer.headers.get('content-type');
					assert.is(type, 'application/problem+json', answer.text);
					const {status, kind, ran} = JSON.parse(
						answer.body,
					) as ExpectedProblem;
					assert.equal({status, kind, ran}, expected);
					assert.is(answer.status, status);
					assert.is(edge.target.requests.length, 0);
				}),
			);
		}

		const malformed = {status: 400, kind: 'bad-request', ran: 'not-run'};
		const unknown = {status: 404, kind: 'service-unknown', ran: 'not-run'};
		const unsupported = {
			status: 501,
			kind: 'method-unsupported',
			ran: 'not-run',
		};
		const slow = {status: 408, kind: 'body-timeout', ran: 'not-run'};
		const large = {status: 413, kind: 'body-too-large', ran: 'not-run'};
		const bothLengths = makeHead(
			'POST /svc/a',
			'Content-Length: 4',
			'Transfer-Encoding: chunked',
		);
		doTest('two body framings', `${bothLengths}0\r\n\r\n`, malformed);
		doTest(
			'two Content-Length headers',
			makeHead('POST /svc/a', 'Content-Length: 4', 'Content-Length: 5'),
			malformed,
		);
		doTest(
			'a Content-Length list',
			makeHead('POST /svc/a', 'Content-Length: 4, 4'),
			malformed,
		);
		doTest(
			'an unknown transfer coding',
			makeHead('POST /svc/a', 'Transfer-Encoding: xchunked'),
			malformed,
		);
		doTest(
			'a folded header line',
			makeHead('GET /svc/a', 'X-A: b\r\n c'),
			malformed,
		);
		doTest(
			'bare line feeds',
			'GET /svc/a HTTP/1.1\nHost: a\nConnection: close\n\n',
			malformed,
		);
		doTest(
			'a bare line feed within the head',
			makeHead('GET /svc/a', 'X-A: b\nX-B: c'),
			malformed,
		);
		doTest(
			'a space before a colon',
			makeHead('GET /svc/a', 'X-A : b'),
			malformed,
		);
		doTest(
			'a space in the name of a header',
			makeHead('GET /svc/a', 'X A: b'),
			malformed,
		);
		doTest(
			'a space before the colon of a framing header',
			makeHead('POST /svc/a', 'Content-Length : 4'),
			malformed,
		);
		doTest(
			'two ids',
			makeHead('GET /svc/a', 'X-Request-Id: a', 'X-Request-Id: b'),
			malformed,
		);
		doTest('an empty id', makeHead('GET /svc/a', 'X-Request-Id:'), malformed);
		doTest(
			'an id with a character that is not of ASCII',
			makeHead('GET /svc/a', 'X-Request-Id: \u00E4'),
			malformed,
		);
		doTest(
			'an id of 257 characters',
			makeHead('GET /svc/a', `X-Request-Id: ${'a'.repeat(257)}`),
			malformed,
		);
		doTest('no Host header', 'GET /svc/a HTTP/1.1\r\n\r\n', malformed);
		doTest('two Host headers', makeHead('GET /svc/a', 'Host: b'), malformed);
		doTest('not HTTP', 'hello\r\n\r\n', malformed);
		doTest(
			'a bad chunk',
			`${makeHead('POST /svc/a', 'Transfer-Encoding: chunked')}zz\r\n`,
			malformed,
		);
		doTest(
			'a large request head',
			makeHead('GET /svc/a', `X-A: ${'b'.repeat(4000)}`),
			{
				status: 431,
				kind: 'header-too-large',
				ran: 'not-run',
			},
		);
		doTest(
			'a body with a large Content-Length',
			`${makeHead('POST /svc/a', 'Content-Length: 2000')}${'b'.repeat(2000)}`,
			large,
		);
		doTest(
			'a large chunked body',
			`${makeHead('POST /svc/a', 'Transfer-Encoding: chunked')}7d0\r\n${'b'.repeat(2000)}\r\n`,
			large,
		);
		doTest('a slow request head', 'GET /svc/a HTTP/1.1\r\nHos', slow);
		doTest('a root path', makeHead('GET /', 'Connection: close'), unknown);
		doTest(
			'an encoded path',
			makeHead('GET /%zz/', 'Connection: close'),
			unknown,
		);
		doTest(
			'dot segments',
			makeHead('GET /../svc/a', 'Connection: close'),
			unknown,
		);
		doTest(
			'an empty segment',
			makeHead('GET //svc/a', 'Connection: close'),
			unknown,
		);
		doTest(
			'the asterisk form',
			makeHead('OPTIONS *', 'Connection: close'),
			unknown,
		);
		doTest(
			'an unsupported method',
			makeHead('TRACE /svc/a', 'Connection: close'),
			unsupported,
		);
		doTest(
			'a WebDAV method',
			makeHead('PROPFIND /svc/a', 'Connection: close'),
			unsupported,
		);
		doTest(
			'a CONNECT tunnel',
			makeHead('CONNECT svc:80', 'Connection: close'),
			unsupported,
		);
		doTest(
			'an expectation other than 100-continue',
			makeHead('GET /svc/a', 'Expect: wonders', 'Connection: close'),
			malformed,
		);

		it('rejects a stalled body with 408', async () => {
			const clock = new ManualClock();
			await withEdge({script: answerOk, clock}, async (edge) => {
				const caller = edge.connect();
				caller.send(`${makeHead('POST /svc/a', 'Content-Length: 9')}half`);
				await waitUntil(() => clock.pendingCount > 0);
				clock.advance(1000);
				await waitUntil(() => caller.receivedText !== '');
				clock.advance(1000);
				const answer = await caller.readToEnd();
				assert.is(answer.status, 408, answer.text);
				assert.is(edge.target.requests.length, 0);
			});
		});
	});

	describe('forwarded requests', () => {
		function doTest(
			name: string,
			text: string,
			expected: {readonly line: string; readonly body?: string},
		): void {
			it(name, async () =>
				withEdge({script: answerOk}, async (edge) => {
					const answer = await edge.exchange(text);
					assert.is(answer.status, 200, answer.text);
					const [request] = edge.target.requests;
					assert.is(request!.head.split('\r\n')[0], expected.line);
					assert.is(request!.body, expected.body ?? '');
				}),
			);
		}

		doTest('the path', makeHead('GET /svc/a?b=%2F', 'Connection: close'), {
			line: 'GET /a?b=%2F HTTP/1.1',
		});
		doTest(
			'a service without a path',
			makeHead('GET /svc', 'Connection: close'),
			{
				line: 'GET / HTTP/1.1',
			},
		);
		doTest(
			'a service with only a query',
			makeHead('GET /svc?q', 'Connection: close'),
			{
				line: 'GET /?q HTTP/1.1',
			},
		);
		doTest(
			'dot segments after the service',
			makeHead('GET /svc/../x', 'Connection: close'),
			{
				line: 'GET /../x HTTP/1.1',
			},
		);
		doTest(
			'an absolute form',
			makeHead('GET http://b/svc/a', 'Connection: close'),
			{
				line: 'GET /a HTTP/1.1',
			},
		);
		doTest(
			'a body of known size',
			`${makeHead('POST /svc/a', 'Content-Length: 4', 'Connection: close')}body`,
			{line: 'POST /a HTTP/1.1', body: 'body'},
		);
		doTest(
			'a chunked body',
			`${makeHead('POST /svc/a', 'Transfer-Encoding: chunked', 'Connection: close')}2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n`,
			{line: 'POST /a HTTP/1.1', body: 'body'},
		);

		// Guards against a target that runs a request under an id that no caller sent.
		describe('their ids', () => {
			function doTestId(id: string): void {
				it(`are passed on unchanged: ${id.slice(0, 40)}`, async () =>
					withEdge({script: answerOk}, async (edge) => {
						const answer = await edge.exchange(
							makeHead(
								'GET /svc/a',
								`X-Request-Id: ${id}`,
								'Connection: close',
							),
						);
						assert.is(answer.status, 200, answer.text);
						assert.is(answer.headers.get('x-request-id'), id);
						const [request] = edge.target.requests;
						const line = request!.head
							.split('\r\n')
							.find((text) => text.toLowerCase().startsWith('x-request-id:'));
						assert.is(line?.slice('x-request-id: '.length), id);
					}));
			}

			doTestId('9c41d07be2a35f68');
			doTestId('9c41d07be2a35f68.2');
			doTestId('a/b:c+d=e~f@g "h" (i), j;k');
			doTestId('a'.repeat(256));
		});

		it('drops the hop-by-hop headers of the caller connection', async () =>
			withEdge({script: answerOk}, async (edge) => {
				const hopByHop = ['TE: trailers', 'Upgrade: x', 'Keep-Alive: 5'];
				await edge.exchange(
					makeHead(
						'GET /svc/a',
						'Connection: close, X-Secret',
						'X-Secret: s',
						'X-Kept: k',
						'Via: 1.0 other',
						...hopByHop,
					),
				);
				const seen = getLastHead(edge);
				assert.match(seen, 'x-kept: k');
				assert.match(seen, 'via: 1.0 other, 1.1 bilberryscale');
				for (const name of ['x-secret', 'te:', 'upgrade', 'keep-alive: 5']) {
					assert.not.match(seen, name);
				}
			}));
	});

	describe('responses', () => {
		it('drops the hop-by-hop headers of the target connection', async () => {
			const script: RawScript = ({socket}) => {
				socket.write(
					'HTTP/1.1 200 OK\r\nConnection: X-Secret\r\nX-Secret: s\r\nX-Kept: k\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 2\r\n\r\nok',
				);
			};

			await withEdge({script}, async (edge) => {
				const text = makeHead('GET /svc/a', 'Connection: close');
				const answer = await edge.exchange(text);
				assert.is(answer.headers.get('via'), '1.1 bilberryscale');
				assert.is(answer.headers.get('x-kept'), 'k');
				assert.is(answer.headers.get('x-secret'), undefined);
				assert.is(answer.text.match(/set-cookie/giv)?.length, 2);
			});
		});

		function doTest(
			name: string,
			input: {readonly method: string; readonly answer: string},
			expected: {readonly status: number; readonly body: string},
		): void {
			it(name, async () => {
				const script: RawScript = ({socket}) => {
					socket.write(input.answer);
				};

				await withEdge({script}, async (edge) => {
					const text = makeHead(`${input.method} /svc/a`, 'Connection: close');
					const {status, body} = await edge.exchange(text);
					assert.equal({status, body}, expected);
				});
			});
		}

		doTest(
			'HEAD without a body',
			{
				method: 'HEAD',
				answer: 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n',
			},
			{status: 200, body: ''},
		);
		doTest(
			'204 without a body',
			{method: 'GET', answer: 'HTTP/1.1 204 No Content\r\n\r\n'},
			{status: 204, body: ''},
		);
		doTest(
			'304 without a body',
			{
				method: 'GET',
				answer: 'HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n',
			},
			{status: 304, body: ''},
		);
		doTest(
			'a chunked body',
			{
				method: 'GET',
				answer:
					'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
			},
			{status: 200, body: 'ok'},
		);
	});
});
