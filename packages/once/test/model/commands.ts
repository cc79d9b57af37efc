/** The commands of the fleet model and their fast-check arbitraries. */

import fc from 'fast-check';

/** One event in a simulated fleet. */
export type Command =
	| {
			readonly kind: 'claim';
			readonly host: number;
			readonly wantsBucket: boolean;
			/** The grantors that the claim reaches, one bit each. */
			readonly grantorMask: number;
			readonly delayMs: number;
			readonly replyDelayMs: number;
			readonly isDuplicated: boolean;
	  }
	| {
			readonly kind: 'submit';
			readonly host: number;
			/** Which earlier key is sent, counted backwards; 0 generates a new one. */
			readonly keysBack: number;
			readonly timestampOffsetMs: number;
			readonly pauseMs: number;
			readonly outcome: 'answered' | 'not-run' | 'running';
	  }
	| {readonly kind: 'advance'; readonly ms: number}
	| {readonly kind: 'pause'; readonly host: number; readonly ms: number}
	/** The hosts that are restarted, one bit each. */
	| {readonly kind: 'kill'; readonly hosts: number}
	| {readonly kind: 'list'; readonly host: number; readonly isNew: boolean};

/** The number of hosts; each of the two lists leaves out one of them. */
export const hostCount = 6;

const allHosts = 2 ** hostCount - 1;
const host = fc.oneof(
	{weight: 5, arbitrary: fc.constantFrom(0, 5)},
	{weight: 1, arbitrary: fc.nat(hostCount - 1)},
);
const grantorMask = fc.oneof(
	{weight: 12, arbitrary: fc.constant(allHosts)},
	{weight: 4, arbitrary: fc.constantFrom(0b00_0111, 0b11_1000)},
	{weight: 1, arbitrary: fc.nat(allHosts)},
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
	wantsBucket: fc.constantFrom(true, true, true, false),
	grantorMask,
	delayMs,
	replyDelayMs,
	isDuplicated: fc.boolean(),
});
const submit = fc.record({
	kind: fc.constant('submit' as const),
	host,
	keysBack: fc.constantFrom(0, 0, 1, 1, 2),
	timestampOffsetMs: fc.constantFrom(-3000, 0, 0, 300, 450),
	pauseMs: fc.constantFrom(0, 0, 0, 0, 0, 0, 0, 0, 0, 400, 3000, 8000),
	outcome: fc.constantFrom('answered', 'not-run', 'running'),
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
	hosts: fc.oneof(fc.constant(0b01_1110), fc.nat(allHosts)),
});
const list = fc.record({
	kind: fc.constant('list' as const),
	host,
	isNew: fc.boolean(),
});

/** Sequences of 20 to 80 events. */
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
