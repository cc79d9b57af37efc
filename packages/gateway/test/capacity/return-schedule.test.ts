import {makeSeededRandom, ManualClock, type Clock} from '@bilberryscale/core';
import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {
	ReturnSchedule,
	type RefusedCaller,
	type ReturnTime,
} from '../../src/capacity/return-schedule.js';

type Return = {readonly rank: number; readonly atMs: number};

const warmUpMs = 6000;
const refusalsMs = 100;
const callerCount = 1000;
const urgentRank = 0;
const patientRank = 2;

/** A caller of each rank; a third of its remaining time leaves room for the whole burst. */
function makeCaller(rank: number, changes: Partial<RefusedCaller> = {}) {
	return {rank, remainingMs: 6000, serviceTimeMs: 200, ...changes};
}

function getDelayMs(time: ReturnTime): number | undefined {
	return time.kind === 'none' ? undefined : time.delayMs;
}

function getQuantile(values: readonly number[], share: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length * share)]!;
}

function makeSchedule(clock: Clock, seed = 1): ReturnSchedule {
	return new ReturnSchedule({clock, random: makeSeededRandom(seed)});
}

/** Completes requests at a steady rate. */
function completeRequests(
	schedule: ReturnSchedule,
	clock: ManualClock,
	{perSecond, forMs}: {readonly perSecond: number; readonly forMs: number},
): void {
	const stepMs = 1000 / perSecond;
	for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += stepMs) {
		clock.advance(stepMs);
		schedule.addDeparture();
	}
}

/**
 * Refuses callers at random hosts within a tenth of a second, while requests go on
 * to complete, and gets when they return.
 */
function refuseBurst(input: {
	readonly hosts: number;
	readonly completionsPerSecond: number;
	readonly urgentShare: number;
	readonly remainingMs?: number;
}): readonly Return[] {
	const {hosts, completionsPerSecond, urgentShare, remainingMs = 6000} = input;
	const random = makeSeededRandom(7);
	const clock = new ManualClock();
	const schedules = Array.from({length: hosts}, (_, index) =>
		makeSchedule(clock, index + 1),
	);
	const complete = (forMs: number) => {
		for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs++) {
			clock.advance(1);
			for (let credit = completionsPerSecond / 1000; credit > 0; credit--) {
				if (random() < credit) {
					const schedule = schedules[Math.floor(random() * hosts)]!;
					schedule.addDeparture();
					schedule.addArrival(
						random() < urgentShare ? urgentRank : patientRank,
					);
				}
			}
		}
	};

	complete(warmUpMs);
	const returns: Return[] = [];
	for (let index = 0; index < callerCount; index++) {
		if (index % (callerCount / refusalsMs) === 0) {
			complete(1);
		}

		const rank = random() < urgentShare ? urgentRank : patientRank;
		const schedule = schedules[Math.floor(random() * hosts)]!;
		const delayMs = getDelayMs(schedule.book(makeCaller(rank, {remainingMs})));
		if (delayMs !== undefined) {
			returns.push({rank, atMs: clock.monotonicMs() + delayMs});
		}
	}

	return returns;
}

/** Counts the returns in the fullest window of 50 ms. */
function countPeak(returns: readonly Return[]): number {
	const times = returns.map(({atMs}) => atMs);
	return Math.max(
		...times.map(
			(startMs) =>
				times.filter((atMs) => atMs >= startMs && atMs < startMs + 50).length,
		),
	);
}

describe('ReturnSchedule', () => {
	describe('book, for 1,000 callers refused within 100 ms', () => {
		for (const hosts of [16, 100]) {
			for (const remainingMs of [6000, 1500]) {
				it(`lets no more return in 50 ms than 1.2 times the capacity, ${hosts} hosts, ${remainingMs} ms left`, () => {
					const completionsPerSecond = 2000;
					const returns = refuseBurst({
						hosts,
						completionsPerSecond,
						urgentShare: 0.2,
						remainingMs,
					});
					const peak = countPeak(returns);
					assert.ok(
						peak <= 1.2 * completionsPerSecond * 0.05,
						`${peak} of ${returns.length}`,
					);
				});
			}

			it(`tells almost all that can be served to return, ${hosts} hosts`, () => {
				const {length} = refuseBurst({
					hosts,
					completionsPerSecond: 1000,
					urgentShare: 0,
				});
				assert.ok(length >= 0.95 * callerCount, String(length));
			});

			it(`tells no more to return than there is capacity for, ${hosts} hosts`, () => {
				const {length} = refuseBurst({
					hosts,
					completionsPerSecond: 1000,
					urgentShare: 0,
					remainingMs: 1000,
				});
				const capacity = 1000 * (0.3 + refusalsMs / 1000);
				assert.ok(length <= 1.2 * capacity, String(length));
				assert.ok(length >= 0.7 * capacity, String(length));
			});

			it(`lets urgent ranks return first, ${hosts} hosts`, () => {
				const returns = refuseBurst({
					hosts,
					completionsPerSecond: 1000,
					urgentShare: 0.3,
				});
				const getTimes = (rank: number) =>
					returns
						.filter((candidate) => candidate.rank === rank)
						.map(({atMs}) => atMs);
				const urgentMs = getQuantile(getTimes(urgentRank), 0.9);
				const patientMs = getQuantile(getTimes(patientRank), 0.5);
				assert.ok(urgentMs < patientMs, `${urgentMs} ${patientMs}`);
			});
		}
	});

	describe('book', () => {
		it('promises each slot once and the next ones in turn', () => {
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			completeRequests(schedule, clock, {perSecond: 20, forMs: 8000});
			const delays = Array.from({length: 5}, () =>
				getDelayMs(schedule.book(makeCaller(urgentRank))),
			);
			for (let index = 1; index < delays.length; index++) {
				const gapMs = delays[index]! - delays[index - 1]!;
				assert.ok(Math.abs(gapMs - 50) < 5, String(delays));
			}
		});

		it('never promises a time beyond a third of what a caller has left', () => {
			const random = makeSeededRandom(3);
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			for (let index = 0; index < 5000; index++) {
				clock.advance(random() * 20);
				if (random() < 0.4) {
					schedule.addDeparture();
				}

				const remainingMs = random() * 8000 - 100;
				const rank = Math.floor(random() * 3);
				schedule.addArrival(rank);
				const delayMs = getDelayMs(
					schedule.book(makeCaller(rank, {remainingMs})),
				);
				// The response header rounds the delay to 10 ms.
				assert.ok(
					delayMs === undefined || delayMs + 5 <= Math.max(15, remainingMs / 3),
					`${delayMs} of ${remainingMs}`,
				);
			}
		});

		it('tells a caller to return while all slots are promised only in every tenth slot', () => {
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			completeRequests(schedule, clock, {perSecond: 50, forMs: 8000});
			const kinds = Array.from(
				{length: 300},
				() => schedule.book(makeCaller(urgentRank)).kind,
			);
			const slots = kinds.filter((kind) => kind === 'slot').length;
			const latest = kinds.filter((kind) => kind === 'latest').length;
			assert.ok(Math.abs(slots - 90) < 6, String(slots));
			assert.ok(Math.abs(latest - slots / 10) <= 2, String(latest));
			assert.is(kinds.at(-1), 'none');
		});

		it('promises nothing to a caller that has no time left to be served after its return', () => {
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			completeRequests(schedule, clock, {perSecond: 50, forMs: 4000});
			const caller = makeCaller(urgentRank, {
				remainingMs: 500,
				serviceTimeMs: 495,
			});
			assert.is(schedule.book(caller).kind, 'none');
		});

		it('promises nothing to a rank while more urgent requests take all capacity', () => {
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			for (let index = 0; index < 400; index++) {
				clock.advance(20);
				schedule.addDeparture();
				schedule.addArrival(urgentRank);
				schedule.addArrival(urgentRank);
			}

			assert.is(schedule.book(makeCaller(patientRank)).kind, 'none');
			assert.is(schedule.book(makeCaller(urgentRank)).kind, 'slot');
		});

		it('follows a rate that falls without promising its slots anew', () => {
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			completeRequests(schedule, clock, {perSecond: 100, forMs: 8000});
			const promisedMs: number[] = [];
			const bookAll = () => {
				for (let index = 0; index < 400; index++) {
					const delayMs = getDelayMs(schedule.book(makeCaller(urgentRank)));
					if (delayMs !== undefined) {
						promisedMs.push(clock.monotonicMs() + delayMs);
					}
				}
			};

			bookAll();
			const firstCount = promisedMs.length;
			clock.advance(500);
			bookAll();
			// 500 ms without a completion: the slots that are left hold the promises of before.
			assert.ok(promisedMs.length - firstCount < 60, String(promisedMs.length));
		});

		it('promises early slots after a fall of the rate, although many promised times have passed', () => {
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			completeRequests(schedule, clock, {perSecond: 100, forMs: 8000});
			for (let index = 0; index < 400; index++) {
				schedule.book(makeCaller(urgentRank));
			}

			completeRequests(schedule, clock, {perSecond: 20, forMs: 3000});
			const delayMs = getDelayMs(schedule.book(makeCaller(urgentRank)));
			assert.ok(delayMs !== undefined && delayMs < 100, String(delayMs));
		});

		it('schedules nothing into the past, and into the present at random, after a restart', () => {
			const clock = new ManualClock();
			clock.advance(123_456);
			for (let seed = 1; seed <= 50; seed++) {
				const schedule = makeSchedule(clock, seed);
				const first = schedule.book(makeCaller(urgentRank));
				assert.is(first.kind, 'unmeasured');
				assert.ok(getDelayMs(first)! >= 10);
				schedule.addDeparture();
				for (let index = 0; index < 20; index++) {
					const delayMs = getDelayMs(schedule.book(makeCaller(urgentRank)));
					assert.ok(delayMs === undefined || delayMs >= 10, String(delayMs));
				}
			}
		});

		it('schedules nothing into the past after a long time without refusals', () => {
			const clock = new ManualClock();
			const schedule = makeSchedule(clock);
			completeRequests(schedule, clock, {perSecond: 20, forMs: 4000});
			schedule.book(makeCaller(urgentRank));
			completeRequests(schedule, clock, {perSecond: 20, forMs: 60_000});
			assert.ok(getDelayMs(schedule.book(makeCaller(urgentRank)))! >= 10);
		});
	});
});
