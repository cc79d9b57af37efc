import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it, sendAtRate} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {makeHostFetcher} from '../../src/hosts/host-fetcher.js';

describe('host fetcher', () => {
	// A long document over a narrow link was cut after 3 s.
	it('reads a document for as long as it makes progress', async () => {
		const document = {text: 'x'.repeat(600_000)};
		const server = http.createServer((_request, response) => {
			void sendAtRate(response, JSON.stringify(document), 150_000);
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		try {
			const host = `127.0.0.1:${port}`;
			const fetchFromHost = makeHostFetcher();
			const result = await fetchFromHost({host, path: '/', token: 't'});
			assert.equal(result.unwrap(), document);
		} finally {
			server.close();
			server.closeAllConnections();
		}
	});
});
