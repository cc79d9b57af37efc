/** Loads the library for histograms. */

import {maxHistogramValue, type HistogramFactory} from './route-quantiles.js';

/** Two digits: a relative error of 1 %, in 8 KB for each histogram. */
const significantDigits = 2;
/** The size of a counter, in bits. */
const counterBits = 32;

/**
 * Loads the needed module of the library, only on a host that hedges. The whole library, with its
 * codecs and WebAssembly, takes about twice the memory and three times the time to load.
 *
 * @returns A function that makes empty histograms.
 */
export async function loadHistogram(): Promise<HistogramFactory> {
	const {constructorFromBucketSize} =
		await import('hdr-histogram-js/dist/JsHistogramFactory.js');
	const histogramClass = constructorFromBucketSize(counterBits);
	return () =>
		// The library exports its classes only through this function.
		// eslint-disable-next-line new-cap
		new histogramClass(1, maxHistogramValue, significantDigits);
}
