/** Wires up the dispatcher of hedged requests; a host without a hedge limit has none. */

import type {Clock, DataCentreId, RandomSource} from '@bilberryscale/core';
import type {CrashSuspects} from '@bilberryscale/decisions';
import type {AccountCheck} from '../accounts/account-check.js';
import {ShortageDetector} from '../capacity/shortage-detector.js';
import type {LastSlotFactor} from '../choice/last-slot-factor.js';
import type {TargetProber} from '../choice/target-prober.js';
import {HedgeBudget} from '../hedging/hedge-budget.js';
import {HedgePolicy} from '../hedging/hedge-policy.js';
import {HedgeTargetPicker} from '../hedging/hedge-target-picker.js';
import {
	RouteQuantiles,
	type HistogramFactory,
} from '../hedging/route-quantiles.js';
import type {RequestRecorder} from '../records/request-recorder.js';
import type {AttemptDispatcher} from '../relay/attempt-dispatcher.js';
import {HedgedDispatcher} from '../relay/hedged-dispatcher.js';
import type {ServiceTimes} from '../relay/service-times.js';
import type {TargetRegistry} from '../targets/target-registry.js';

/** How hedged requests are sent. */
export type HedgingOptions = {
	/** The maximum share of the requests of a service that are sent to a second target. */
	readonly limit: number;
	readonly makeHistogram: HistogramFactory;
};

/** The objects that hedging shares with the rest of the relay. */
export type HedgingDependencies = {
	readonly hedging: HedgingOptions;
	readonly clock: Clock;
	readonly targetRegistry: TargetRegistry;
	readonly crashSuspects: CrashSuspects;
	readonly isShuttingDown: () => boolean;
	readonly random: RandomSource;
	readonly dispatcher: AttemptDispatcher;
	readonly prober: TargetProber;
	readonly lastSlotFactor: LastSlotFactor;
	readonly serviceTimes: ServiceTimes;
	readonly recorder: RequestRecorder;
	readonly accountCheck: AccountCheck;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
};

/**
 * Builds the dispatcher and the objects that only it uses.
 *
 * @param dependencies - The objects it shares with the rest of the relay.
 * @returns The dispatcher.
 */
export function makeHedgedDispatcher(
	dependencies: HedgingDependencies,
): HedgedDispatcher {
	const {clock, random, targetRegistry} = dependencies;
	const {limit, makeHistogram} = dependencies.hedging;
	return new HedgedDispatcher({
		...dependencies,
		policy: new HedgePolicy({
			limit,
			quantiles: new RouteQuantiles({clock, makeHistogram}),
		}),
		makeBudget: () => new HedgeBudget({limit, random}),
		targetPicker: new HedgeTargetPicker({
			...dependencies,
			registry: targetRegistry,
		}),
		shortageDetector: new ShortageDetector({
			clock,
			getOpenTargets: (service) => targetRegistry.getOpenTargets(service),
		}),
	});
}
