/** Benchmarks of the entry process. */

export {
	measureOverhead,
	type OverheadResult,
	type OverheadOptions,
} from './load/measure-overhead.js';
export {BenchEnvironment} from './processes/bench-environment.js';
