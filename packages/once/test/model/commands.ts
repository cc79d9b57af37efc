/** What may happen to a fleet, as values that fast-check generates. */

import fc from 'fast-check';

/** One event of a run. */
export type Command =
	| {
			readonly kind: 'claim';
			readonly host: number;
			readonly wants: boolean;
			/** Which grantors the claim reaches, one bit each. */
			readonly reach: number;
			readonly delayMs: number;
			readonly replyDelayMs: number;
			readonly isDoubled: boolean;
	  }
	| {
			readonly kind: 'submit';
			readonly host: number;
			/** How many keys back; 0 makes a new one. */
			readonly back: number;
			readonly skewMs: number;
			readonly pauseMs: number;
			readonly end: 'answered' | 'not-run' | 'running';
	  }
	| {readonly kind: 'advance'; readonly ms: number}
	| {readonly kind: 'pause'; readonly host: number; readonly ms: number}
	/** Which hosts start again, one bit each. */
	| {readonly kind: 'kill'; readonly hosts: number}
	| {readonly kind: 'list'; readonly host: number; readonly isNew: boolean};

/** How many hosts there are; each list names all but one of them. */
export const hostCount = 6;

const allReached = 2 ** hostCount - 1;
const host = fc.oneof(
	{weight: 5, arbitrary: fc.constantFrom(0, 5)},
	{weight: 1, arbitrary: fc.nat(hostCount - 1)},
);
const reach = fc.oneof(
	{weight: 12, arbitrary: fc.constant(allReached)},
	{weight: 4, arbitrary: fc.constantFrom(0b00_0111, 0b11_1000)},
	{weight: 1, arbitrary: fc.nat(allReached)},
);
const delayMs = fc.oneof(
	{weight: 14, arbitrary: fc.constant(0)},
	{weight: 1, arbitrary: fc.constantFrom(5, 200, 3000, 5900)},
);
const replyDelayMs = fc.oneof(
	{weight: 4, arbitrary: fc.constant(0)},
	{weight: 1, arbitrary: fc.constantFrom(200, 3000, 5900)},
);
const durationMs = fc.constantFrom(20, 400, 1100, 1100, 1100, 3000, 6100);

const claim = fc.record({
	kind: fc.constant('claim' as const),
	host,
	wants: fc.constantFrom(true, true, true, false),
	reach,
	delayMs,
	replyDelayMs,
	isDoubled: fc.boolean(),
});
const submit = fc.record({
	kind: fc.constant('submit' as const),
	host,
	back: fc.constantFrom(0, 0, 1, 1, 2),
	skewMs: fc.constantFrom(-3000, 0, 0, 300, 450),
	pauseMs: fc.constantFrom(0, 0, 0, 0, 0, 0, 0, 0, 0, 400, 3000, 8000),
	end: fc.constantFrom('answered', 'not-run', 'running'),
});
const advance = fc.record({
	kind: fc.constant('advance' as const),
	ms: durationMs,
});
const pause = fc.record({
	kind: fc.constant('pause' as const),
	host,
	ms: durationMs,
});
const kill = fc.record({
	kind: fc.constant('kill' as const),
	hosts: fc.oneof(fc.constant(0b01_1110), fc.nat(allReached)),
});
const list = fc.record({
	kind: fc.constant('list' as const),
	host,
	isNew: fc.boolean(),
});

/** Runs of up to eighty events. */
export const commands: fc.Arbitrary<Command[]> = fc.array(
	fc.oneof(
		{weight: 30, arbitrary: claim},
		{weight: 30, arbitrary: submit},
		{weight: 15, arbitrary: advance},
		{weight: 2, arbitrary: pause},
		{weight: 2, arbitrary: kill},
		{weight: 3, arbitrary: list},
	),
	{minLength: 20, maxLength: 80, size: 'max'},
);
