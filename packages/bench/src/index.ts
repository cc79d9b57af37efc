/** Measures what the entry process costs. */

export {compare, type Comparison, type ComparisonPlan} from './load/compare.js';
export {BenchHost} from './processes/bench-host.js';
