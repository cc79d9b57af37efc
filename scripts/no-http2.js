/** Stands for undici's HTTP/2 client, which loads Node's HTTP/2; connections of the entry process speak HTTP/1.1 only. */

export default function connectH2() {
	throw new Error('HTTP/2 is not part of this bundle.');
}
