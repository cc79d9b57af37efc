/**
 * Replaces undici's HTTP/2 client, which would load `node:http2`: the connections of the entry
 * process use HTTP/1.1 only.
 */

export default function connectH2() {
	throw new Error('HTTP/2 is not included in this bundle.');
}
