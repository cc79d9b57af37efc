/** Computes a digest that identifies repetitions of a request. */

import {createHash} from 'node:crypto';
import {makeId, type Digest} from '@bilberryscale/core';
import type {Exchange} from '../pipeline/exchange.js';

/**
 * Gets the signature of a request.
 *
 * @param exchange - The request, with its body read.
 * @returns The digest of the method, the URL and the body; the URL contains the service.
 */
export function getRequestSignature(exchange: Exchange): Digest {
	const {incoming, bodyBytes} = exchange;
	const hash = createHash('sha256');
	hash.update(`${incoming.method} ${incoming.url}\n`);
	if (bodyBytes !== undefined) {
		hash.update(bodyBytes);
	}

	return makeId<Digest>(hash.digest('hex'));
}
